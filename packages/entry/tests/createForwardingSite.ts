/**
 * Entries over one store that pass requests on to each other, without a network: each
 * entry's link to the store and each link between entries fails as a test says.
 */

import {
  brand,
  ManualClock,
  Metrics,
  silentLogger,
  sleep,
  type EntryId,
  type ServiceName,
} from "@rackspan/common";
import {
  ForwardingJobService,
  PeerAnnouncer,
  PeerDirectory,
  peerMethods,
  PeerRequestHandler,
  StoreCallMonitor,
  type JobRequests,
  type PeerTransport,
} from "@rackspan/entry";
import { formatMember } from "@rackspan/leadership";
import {
  StoreAnswerLostError,
  StoreRefusedError,
  type AppendRequest,
  type ReadRequest,
  type StoreClient,
  type TopicName,
} from "@rackspan/ports";
import { ConnectError, LostAnswerError } from "@rackspan/protocol";
import { MemoryStore, plainJob } from "@rackspan/standins";
import type { JobId, JobSpec, QueueKey, QueueSpec } from "@rackspan/state";
import { createJobService } from "./createJobService.js";

/** Time-out of the store client's calls other than appends, as in tests of the memory store. */
const SILENT_MS = 500;
/** One way between two entries, milliseconds. */
const LINK_MS = 1;
const POLL_MS = 100;

const PLAIN = plainJob({ id: "0".repeat(16), acceptedAt: 0 });

/** The queue of all jobs of a test. */
export const QUEUE = {
  ...PLAIN.terms,
  key: PLAIN.spec.queue,
  service: brand<ServiceName>("kaigi"),
} as unknown as QueueSpec;

export const QUEUE_KEY: QueueKey = PLAIN.spec.queue;

export const specOf = (n: number): JobSpec => {
  const id = brand<JobId>(n.toString(16).padStart(16, "0"));
  return { ...PLAIN.spec, id };
};

/**
 * How an entry's calls to the store fail: `refused` at once, `silent` without reaching
 * the store, or `unheard` after the store has carried them out.
 */
export type StoreLink = "up" | "refused" | "silent" | "unheard";

class LinkedStore implements StoreClient {
  link: StoreLink = "up";
  /** Duration of a call that reaches the store, milliseconds. */
  latencyMs = 0;
  constructor(
    private readonly store: MemoryStore,
    private readonly clock: ManualClock,
  ) {}

  get limits() {
    return this.store.limits;
  }
  append(req: AppendRequest) {
    return this.through(() => this.store.append(req), req.timeoutMs);
  }
  read(req: ReadRequest) {
    return this.through(() => this.store.read(req));
  }
  readNewest(topic: TopicName) {
    return this.through(() => this.store.readNewest(topic));
  }
  join(req: Parameters<StoreClient["join"]>[0]) {
    return this.through(() => this.store.join(req));
  }
  leave(group: string, member: string) {
    return this.through(() => this.store.leave(group, member));
  }
  owner() {
    return this.through(() => this.store.owner());
  }
  close(): void {
    // There are no resources to close.
  }

  private async through<T>(
    call: () => Promise<T>,
    timeoutMs = SILENT_MS,
  ): Promise<T> {
    switch (this.link) {
      case "up":
        return this.latencyMs > 0 ? this.callSlowly(call, timeoutMs) : call();
      case "refused":
        throw new StoreRefusedError("turned away");
      case "unheard":
        await call();
        return this.failWithoutAnswer(timeoutMs);
      case "silent":
        return this.failWithoutAnswer(timeoutMs);
    }
  }

  private callSlowly<T>(call: () => Promise<T>, timeoutMs: number): Promise<T> {
    const answer = sleep(this.clock, this.latencyMs).then(call);
    answer.catch(() => undefined);
    return Promise.race([answer, this.failWithoutAnswer(timeoutMs)]);
  }

  private async failWithoutAnswer(timeoutMs: number): Promise<never> {
    await sleep(this.clock, timeoutMs);
    throw new StoreAnswerLostError("no answer");
  }
}

/** How the calls to an entry fail. */
export type PeerLink =
  | "up"
  /** Nothing can be sent. */
  | "unreachable"
  /** The entry carries the call out, but its answer is lost. */
  | "loses-answers"
  /** The entry ends while it carries the call out. */
  | "ends-in-between";

export class SiteEntry {
  peerLink: PeerLink = "up";
  isReady = true;
  /** Calls that other entries sent to this one. */
  served = 0;
  readonly linkedStore: LinkedStore;
  readonly directory: PeerDirectory;
  readonly storeCalls: StoreCallMonitor;
  readonly metrics = new Metrics();
  readonly own: ReturnType<typeof createJobService>;
  readonly forwarding: JobRequests;
  readonly handler: PeerRequestHandler;
  readonly announcer: PeerAnnouncer;

  constructor(
    readonly name: string,
    private readonly site: ForwardingSite,
  ) {
    const { clock } = site;
    const logger = silentLogger;
    const entry = brand<EntryId>(name);
    this.linkedStore = new LinkedStore(site.store, clock);
    this.directory = new PeerDirectory({ self: entry, clock });
    const { directory, metrics } = this;
    this.storeCalls = new StoreCallMonitor({
      store: this.linkedStore,
      clock,
      onOwner: (member) => directory.setLeader(member),
    });
    const { storeCalls } = this;
    this.own = createJobService({
      clock,
      store: storeCalls,
      entry: name,
      pollIntervalMs: POLL_MS,
    });
    const { jobService } = this.own;
    this.handler = new PeerRequestHandler({
      jobService,
      config: { getQueue: (key) => (key === QUEUE_KEY ? QUEUE : undefined) },
      directory,
      storeCalls,
      // The configuration is not part of these tests.
      isReady: () => this.isReady && jobService.isStoreReachable,
      clock,
      logger,
    });
    const transport = site.transport;
    this.forwarding = new ForwardingJobService({
      jobService,
      directory,
      transport,
      storeCalls,
      clock,
      logger,
      metrics,
    });
    this.announcer = new PeerAnnouncer({
      self: { entry, address: name },
      directory,
      transport,
      isLeader: () => site.leader === name,
      isUsable: () => this.handler.isUsable,
      clock,
      logger,
    });
  }

  submit(n: number, timeMs = 3_000) {
    const { clock } = this.site;
    return this.forwarding.submit(QUEUE, specOf(n), clock.monotonic() + timeMs);
  }
}

export class ForwardingSite {
  readonly clock = new ManualClock();
  readonly store = new MemoryStore(this.clock);
  readonly leader = "entry-0";
  readonly transport: PeerTransport = {
    call: (address, method, params, timeoutMs) =>
      this.call(address, method, params, timeoutMs) as never,
  };
  readonly entries: SiteEntry[];

  private constructor(count: number) {
    this.entries = Array.from(
      { length: count },
      (_, n) => new SiteEntry(`entry-${n}`, this),
    );
  }

  /** Entries that have all announced themselves to `entry-0`, the leader. */
  static async create(count: number): Promise<ForwardingSite> {
    const site = new ForwardingSite(count);
    const member = formatMember({
      entry: brand<EntryId>(site.leader),
      incarnation: brand("1"),
      address: site.leader,
    });
    for (const { directory, announcer } of site.entries) {
      directory.setLeader(member);
      announcer.start();
    }
    await site.clock.advance(2_500);
    return site;
  }

  entry(n: number): SiteEntry {
    const entry = this.entries[n];
    if (!entry) throw new Error(`no entry ${n}`);
    return entry;
  }

  async stop(): Promise<void> {
    const stopped = this.entries.flatMap(({ own, announcer }) => [
      own.stop(),
      announcer.stop(),
    ]);
    await this.clock.advance(3_000);
    await Promise.all(stopped);
  }

  /** Passes parameters and results through their schemas, as a connection does. */
  private async call(
    address: string,
    method: keyof typeof peerMethods,
    params: unknown,
    timeoutMs: number,
  ): Promise<unknown> {
    const { clock } = this;
    const target = this.entries.find(({ name }) => name === address);
    await sleep(clock, LINK_MS);
    if (!target || target.peerLink === "unreachable")
      throw new ConnectError(address, "unreachable");
    if (method === "forward") target.served += 1;
    const created: unknown =
      typeof params === "function" ? params(timeoutMs - LINK_MS) : params;
    const sent: unknown = JSON.parse(JSON.stringify(created));
    const handle = target.handler.handlers[method] as (
      params: unknown,
    ) => unknown;
    const answer = Promise.resolve(
      handle(peerMethods[method].params.parse(sent)),
    );
    if (target.peerLink === "ends-in-between")
      throw new LostAnswerError("the connection was closed");
    const late = sleep(clock, timeoutMs).then(() => {
      throw new LostAnswerError(`no answer within ${timeoutMs} ms`);
    });
    late.catch(() => undefined);
    if (target.peerLink === "loses-answers") return late;
    const result = await Promise.race([answer, late]);
    await sleep(clock, LINK_MS);
    return peerMethods[method].result.parse(JSON.parse(JSON.stringify(result)));
  }
}
