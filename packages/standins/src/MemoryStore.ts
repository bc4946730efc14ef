/**
 * In-memory implementation of the platform's store: keyed topics, producer stamps,
 * and one group whose only partition has one owner. Tests switch faults on;
 * all times are taken from the given clock.
 */

import type { Clock, Epoch, Monotonic } from "@rackspan/common";
import {
  DEFAULT_RECORD_LIMITS,
  FencedError,
  RecordRejectedError,
  recordBytes,
  SequenceError,
  StoreAnswerLostError,
  StoreRefusedError,
  type AppendRequest,
  type JoinResponse,
  type JoinRequest,
  type ReadResponse,
  type ReadRequest,
  type NewestPage,
  type RecordLimits,
  type StoreClient,
  type StoredRecord,
  type TopicName,
} from "@rackspan/ports";

interface ProducerState {
  epoch: number;
  /** Number of the last append in any epoch; 0 before the first one. */
  sequence: number;
  /** The end offset returned for each of the last appends, by number of the append. */
  readonly answers: Map<number, number>;
}

/** Number of last appends of a producer that may be repeated without effect. */
const MAX_REMEMBERED_APPENDS = 5;

interface Topic {
  readonly records: StoredRecord[];
  readonly producers: Map<string, ProducerState>;
  readonly waiting: Set<() => void>;
}

interface GroupMember {
  readonly name: string;
  expiresAt: Monotonic;
}

/** How calls fail while a fault is switched on. */
export type StoreFault =
  | "none"
  | "refuses"
  | "loses-answers"
  | "silent"
  /** Appends get no connection, so nothing of them is sent. */
  | "unconnected";

const NO_ANSWER_AFTER_MS = 500;

export class MemoryStore implements StoreClient {
  limits: RecordLimits = DEFAULT_RECORD_LIMITS;
  /** What the store accepts in fact, if that differs from the stated limits. */
  acceptedLimits: RecordLimits | undefined;
  /** Number of appends that were rejected because of their size. */
  rejections = 0;
  fault: StoreFault = "none";
  /** Whether members do not expire, as may happen while the store is unavailable. */
  suspendsExpiry = false;
  appends = 0;
  /** Maximum number of records returned by one read. */
  maxReadRecords = Infinity;
  private readonly topics = new Map<TopicName, Topic>();
  private members: GroupMember[] = [];
  private ownerName: string | undefined;
  private generation = 0;

  constructor(private readonly clock: Clock) {}

  async append(req: AppendRequest): Promise<number> {
    if (this.fault === "unconnected" || req.signal?.aborted)
      await this.failToConnect(req);
    req.onSending?.();
    await this.applyFault("before");
    this.checkSize(req);
    const topic = this.topic(req.topic);
    const end = appendChecked(topic, req);
    this.appends += 1;
    for (const wake of topic.waiting) wake();
    topic.waiting.clear();
    await this.applyFault("after");
    return end;
  }

  async read({
    topic,
    from,
    waitMs,
    signal,
  }: ReadRequest): Promise<ReadResponse> {
    await this.applyFault("before");
    const { records, waiting } = this.topic(topic);
    if (records.length <= from && waitMs > 0) {
      await new Promise<void>((resolve) => {
        const timer = this.clock.after(waitMs, resolve);
        const wake = (): void => {
          timer.cancel();
          resolve();
        };
        waiting.add(wake);
        signal?.addEventListener("abort", wake, { once: true });
      });
    }
    signal?.throwIfAborted();
    await this.applyFault("after");
    const page = records.slice(from, from + this.maxReadRecords);
    const end = Math.max(from, records.length);
    return { records: page, next: from + page.length, end };
  }

  async readNewest(topic: TopicName): Promise<NewestPage> {
    await this.applyFault("before");
    const { records } = this.topic(topic);
    const newest = new Map(records.map((record) => [record.key, record]));
    const kept = [...newest.values()].filter(
      ({ value }) => value !== undefined,
    );
    return { records: kept, next: records.length };
  }

  async join(req: JoinRequest): Promise<JoinResponse> {
    await this.applyFault("before");
    this.expireMembers();
    const expiresAt = this.clock.monotonic() + req.ttlMs;
    const known = this.members.find(({ name }) => name === req.member);
    if (known) known.expiresAt = expiresAt;
    else {
      this.members.push({ name: req.member, expiresAt });
      this.generation += 1;
    }
    this.ownerName ??= req.member;
    const owns = this.ownerName === req.member;
    await this.applyFault("after");
    return {
      generation: this.generation as unknown as Epoch,
      ownsPartition: owns,
    };
  }

  async leave(_group: string, member: string): Promise<void> {
    await this.applyFault("before");
    this.removeMember(member);
    await this.applyFault("after");
  }

  async owner(): Promise<string | undefined> {
    await this.applyFault("before");
    this.expireMembers();
    return this.ownerName;
  }

  /** Takes the partition from its owner without notifying it. */
  revoke(): void {
    if (this.ownerName !== undefined) this.removeMember(this.ownerName);
  }

  recordsOf(topic: TopicName): readonly StoredRecord[] {
    return this.topic(topic).records;
  }

  close(): void {
    // There are no resources to close.
  }

  private removeMember(member: string): void {
    const before = this.members.length;
    this.members = this.members.filter(({ name }) => name !== member);
    if (this.members.length === before) return;
    this.generation += 1;
    if (this.ownerName === member) this.ownerName = this.members[0]?.name;
  }

  private expireMembers(): void {
    if (this.suspendsExpiry) return;
    const now = this.clock.monotonic();
    for (const { name, expiresAt } of this.members) {
      if (expiresAt <= now) this.removeMember(name);
    }
  }

  private checkSize({ topic, records }: AppendRequest): void {
    const limits = this.acceptedLimits ?? this.limits;
    const sizes = records.map(recordBytes);
    const bytes = sizes.reduce((sum, size) => sum + size, 0);
    const largest = Math.max(0, ...sizes);
    if (largest <= limits.recordBytes && bytes <= limits.callBytes) return;
    this.rejections += 1;
    throw new RecordRejectedError(
      `an append of ${bytes} bytes to topic ${topic} is too large, with a record of ${largest}`,
    );
  }

  private topic(name: TopicName): Topic {
    let topic = this.topics.get(name);
    if (!topic) {
      topic = { records: [], producers: new Map(), waiting: new Set() };
      this.topics.set(name, topic);
    }
    return topic;
  }

  private async applyFault(when: "before" | "after"): Promise<void> {
    switch (this.fault) {
      case "none":
      case "unconnected":
        return;
      case "refuses":
        if (when === "before")
          throw new StoreRefusedError("the store refuses all calls");
        return;
      case "loses-answers":
        if (when === "before") return;
        return this.failWithoutAnswer();
      case "silent":
        return this.failWithoutAnswer();
    }
  }

  private async failToConnect({
    signal,
    timeoutMs,
  }: AppendRequest): Promise<never> {
    if (!signal?.aborted) {
      await new Promise<void>((resolve) => {
        const timer = this.clock.after(timeoutMs, resolve);
        const cancel = (): void => {
          timer.cancel();
          resolve();
        };
        signal?.addEventListener("abort", cancel, { once: true });
      });
    }
    throw new StoreRefusedError("the store cannot be reached");
  }

  private async failWithoutAnswer(): Promise<never> {
    await new Promise<void>((resolve) =>
      this.clock.after(NO_ANSWER_AFTER_MS, resolve),
    );
    throw new StoreAnswerLostError("no answer");
  }
}

/**
 * Appends records and checks the producer's stamp. The first append of a higher epoch may
 * have any sequence number, except after an empty append that set the epoch: the next
 * append must then follow the last one of the previous epoch.
 */
const appendChecked = (
  topic: Topic,
  { records, stamp, ...req }: AppendRequest,
): number => {
  const { producer, epoch, sequence } = stamp;
  const state = topic.producers.get(producer) ?? newProducerState(epoch);
  topic.producers.set(producer, state);
  if (epoch < state.epoch)
    throw new FencedError("the topic has an append with a higher epoch");
  const continues = state.epoch === epoch && state.sequence > 0;
  state.epoch = epoch;
  if (records.length === 0) return topic.records.length;
  if (continues) {
    const answered = state.answers.get(sequence);
    if (answered !== undefined) return answered;
    const wanted = state.sequence + 1;
    if (sequence !== wanted) throw new SequenceError(req.topic, wanted);
  }
  for (const record of records) {
    topic.records.push({ ...record, offset: topic.records.length });
  }
  const end = topic.records.length;
  rememberAnswer(state, sequence, end);
  return end;
};

const newProducerState = (epoch: number): ProducerState => ({
  epoch,
  sequence: 0,
  answers: new Map(),
});

const rememberAnswer = (
  state: ProducerState,
  sequence: number,
  end: number,
): void => {
  state.sequence = sequence;
  state.answers.delete(sequence);
  state.answers.set(sequence, end);
  if (state.answers.size <= MAX_REMEMBERED_APPENDS) return;
  const [oldest] = state.answers.keys();
  if (oldest !== undefined) state.answers.delete(oldest);
};
