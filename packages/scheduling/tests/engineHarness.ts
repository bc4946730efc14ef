/** A job engine on a manual clock, with fake hosts that the test controls. */

import {
  brand,
  ManualClock,
  Metrics,
  silentLogger,
  type AvailabilityZone,
  type Epoch,
  type HostId,
  type JobTaskId,
  type Logger,
  type PauseMeter,
  type RunNumber,
  type ServiceName,
  type WorkerInstance,
  type WorkerTime,
} from "@rackspan/common";
import {
  ProgressJournal,
  TakeoverGate,
  type TaskDescription,
} from "@rackspan/jobs";
import {
  runKeyOf,
  type PermitService,
  type RunOutcome,
  type RunRef,
  type StartRefusal,
} from "@rackspan/ports";
import type {
  Grant,
  HostCallResult,
  HostReport,
  StartTaskCall,
} from "@rackspan/protocol";
import {
  DEFAULT_POLICY,
  JobEngine,
  type HostRoster,
  type HostSession,
  type SchedulingPolicy,
  type StopTaskCall,
} from "@rackspan/scheduling";
import {
  TopicWriter,
  TOPICS,
  type AcceptedJob,
  type JobTerms,
  type LearnedRecord,
  type PermitRule,
  type QueueKey,
  type QueueSpec,
  type StepSpec,
} from "@rackspan/state";
import { MemoryStore, plainJob } from "@rackspan/standins";

export const LEASE_MS = 6_000;
export const LEADERSHIP_TTL_MS = 2_500;
/** Limit of ends in one report; further ends follow once these are acknowledged. */
const MAX_LISTED_ENDS = 500;
const SERVICE = brand<ServiceName>("kaigi");
export const ZONE = brand<AvailabilityZone>("obihiro-a");

/** An order that the test answers later. */
interface HeldOrder {
  /** Undefined for a stop. */
  readonly start: StartTaskCall | undefined;
  readonly resolve: (result: HostCallResult) => void;
}

/** Fake of the side of one host and its worker. */
export class FakeHost implements HostSession {
  readonly starts: StartTaskCall[] = [];
  readonly stops: StopTaskCall[] = [];
  /** Tasks that were described to the side outside of start orders. */
  readonly describedTasks: JobTaskId[] = [];
  /** Answer to the next orders; `hang` never answers, `held` answers in `answerHeld`. */
  answers: HostCallResult["kind"] | "hang" | "held" = "ok";
  /** Whether the worker accepts the ticket of a start that it would carry out. */
  accepts: (call: StartTaskCall) => boolean = () => true;
  /** Tasks that the worker has started, in order. */
  readonly startedTasks = new Set<JobTaskId>();
  /** Reason of the answer `refused`. */
  refusal: StartRefusal = "no-room";
  draining = false;
  leavesInMs: number | undefined;
  service = SERVICE;
  acknowledged = 0;
  /** Whether a stopped run ends immediately; otherwise the test ends it. */
  stopsAtOnce = true;
  /** Runs lost with a crashed worker; reported until a leader has answered. */
  lostRuns: HostReport["lostRuns"] = [];
  /** For how long a start sent to another incarnation may still arrive; see HostReport. */
  formerStartsForMs = 0;
  /** Runs that the side reports to have ended before the worker crashed. */
  unheardEnds: RunRef[] = [];
  /** Number of incarnations of the worker that have ended. */
  crashCount = 0;
  private held: HeldOrder[] = [];
  /** Held starts that were answered as never started; reported until a leader has answered. */
  private neverBegun: StartTaskCall[] = [];
  /** Whether reports list the runs that started last first. */
  listsNewestFirst = false;
  /** By run, as a worker may have two runs of one task. */
  private running = new Map<string, RunRef>();
  /** The highest stopped run of each task; no run up to this number starts any more. */
  private readonly fencedRuns = new Map<JobTaskId, RunNumber>();
  private ended: HostReport["ended"] = [];
  private ends = 0;
  private readonly progressPercents = new Map<JobTaskId, number>();
  private readonly readings = new Map<JobTaskId, number>();
  private readonly checkpoints = new Map<JobTaskId, string>();

  constructor(
    readonly host: HostId,
    private readonly clock: ManualClock,
    public instance = firstIncarnationOf(host),
    public milliCores = 32_000,
    readonly zone = ZONE,
  ) {}

  get at(): WorkerTime {
    return Math.floor(this.clock.monotonic()) as unknown as WorkerTime;
  }

  async startTask(call: StartTaskCall): Promise<HostCallResult> {
    this.starts.push(call);
    if (this.answers === "hang") return new Promise(() => undefined);
    if (this.answers === "held") return this.hold(call);
    if (this.answers === "ok") {
      if (!this.accepts(call)) return { kind: "refused", reason: "bad-ticket" };
      this.running.set(runKeyOf(call), call);
      this.startedTasks.add(call.task);
    }
    return this.answer();
  }

  async stopTask(call: StopTaskCall): Promise<HostCallResult> {
    this.stops.push(call);
    if (this.answers === "hang") return new Promise(() => undefined);
    if (this.answers === "held") return this.hold();
    if (this.stopsAtOnce && this.running.has(runKeyOf(call))) {
      this.end(call.task, "stopped", call.run);
    }
    if (this.stopsAtOnce || this.answers === "ok") this.fence(call);
    return this.answer();
  }

  acknowledge(_instance: WorkerInstance, acknowledged: number): void {
    this.acknowledged = Math.max(this.acknowledged, acknowledged);
    this.ended = this.ended.filter(({ number }) => number > acknowledged);
  }

  describe(tasks: readonly TaskDescription[]): void {
    this.describedTasks.push(...tasks.map(({ task }) => task));
  }

  /** Executes a start order late, unless a stop has fenced the run. */
  startLate({ task, run }: RunRef): void {
    if (run <= (this.fencedRuns.get(task) ?? 0)) return;
    this.running.set(runKeyOf({ task, run }), { task, run });
  }

  /** @param run which run of the task; by default the one that started first */
  end(task: JobTaskId, outcome: RunOutcome, run = this.runOf(task)): void {
    if (run === undefined) throw new Error(`${task} does not run`);
    this.running.delete(runKeyOf({ task, run }));
    this.fence({ task, run });
    this.ends += 1;
    this.ended.push({
      number: this.ends,
      task,
      run,
      outcome,
      checkpoint: outcome === "stopped" ? `saved-${run}` : "",
    });
  }

  /** Removes the run of the task without listing its end. */
  vanish(task: JobTaskId): void {
    const run = this.runOf(task);
    if (run !== undefined) this.running.delete(runKeyOf({ task, run }));
  }

  /** Sets the checkpoint that the running task has saved. */
  saveCheckpoint(task: JobTaskId, checkpoint: string): void {
    this.checkpoints.set(task, checkpoint);
  }

  setProgress(task: JobTaskId, percent: number): void {
    this.progressPercents.set(task, percent);
  }

  /** Sets the tail latency of a serving task, or the processor time of another; see TaskHost. */
  setReading(task: JobTaskId, reading: number): void {
    this.readings.set(task, reading);
  }

  /** Simulates a crash of the worker and the start of its next incarnation. */
  replaceWorker(): void {
    this.crashCount += 1;
    for (const { task, run } of this.running.values()) {
      this.lostRuns.push({ task, run, workedMs: 0, wasAtWork: true });
    }
    this.instance = brand<WorkerInstance>(`${this.instance}x`);
    this.running.clear();
    this.fencedRuns.clear();
    this.ended = [];
    this.ends = 0;
  }

  isRunning(task: JobTaskId): boolean {
    return this.runOf(task) !== undefined;
  }

  get runningTasks(): readonly JobTaskId[] {
    return this.runs.map(({ task }) => task);
  }

  /** In the order in which reports list them. */
  get runs(): readonly RunRef[] {
    const runs = [...this.running.values()];
    return this.listsNewestFirst ? runs.reverse() : runs;
  }

  /**
   * Report to the leader of the given epoch. It also covers orders of previous leaders;
   * the leader's own orders are covered by their answers only, so that tests of those
   * answers do not depend on reports.
   */
  reportTo(epoch: number): HostReport {
    const isOfPreviousLeader = (call: StartTaskCall): boolean =>
      Number(call.epoch) < epoch;
    const open = this.held.flatMap(({ start }) =>
      start && isOfPreviousLeader(start) ? [runKeyOf(start)] : [],
    );
    const report = this.report();
    return {
      ...report,
      lostRuns: report.lostRuns.map((lost) =>
        open.includes(runKeyOf(lost)) ? { ...lost, isOrderOpen: true } : lost,
      ),
      neverBegun: this.neverBegun.filter(isOfPreviousLeader),
    };
  }

  report(): HostReport {
    return {
      worker: {
        instance: this.instance,
        service: this.service,
        labels: ["a", "r1"],
        rack: "r1",
        milliCores: this.milliCores,
        memoryMiB: 128_000,
        accelerators: 0,
        draining: this.draining,
        leavesInMs: this.leavesInMs,
      },
      at: this.at,
      running: this.runs.map(({ task, run }) => ({
        task,
        run,
        checkpoint: this.checkpoints.get(task) ?? "",
        progressPercent: this.progressPercents.get(task) ?? 90,
        reading: this.readings.get(task) ?? 0,
      })),
      ended: this.ended.slice(0, MAX_LISTED_ENDS),
      hasMoreEnds: this.ended.length > MAX_LISTED_ENDS,
      lostRuns: this.lostRuns,
      formerStartsForMs: this.formerStartsForMs,
      unheardEnds: this.unheardEnds,
    };
  }

  /** Delivers the given answer to all orders held so far. */
  answerHeld(result: HostCallResult): void {
    const isNeverStarted = ["refused", "replaced", "draining"].includes(
      result.kind,
    );
    for (const { start, resolve } of this.held.splice(0)) {
      if (start && isNeverStarted) this.recordNeverStarted(start);
      resolve(result);
    }
  }

  private recordNeverStarted(start: StartTaskCall): void {
    this.neverBegun.push(start);
    const key = runKeyOf(start);
    this.lostRuns = this.lostRuns.filter((lost) => runKeyOf(lost) !== key);
  }

  /** Drops what the report contained, as a leader has answered it. */
  confirmReport({ lostRuns, neverBegun = [] }: HostReport): void {
    const open = lostRuns.filter(({ isOrderOpen }) => isOrderOpen);
    const openKeys = new Set(open.map(runKeyOf));
    this.lostRuns = this.lostRuns.filter((lost) =>
      openKeys.has(runKeyOf(lost)),
    );
    this.unheardEnds = [];
    const reported = new Set(neverBegun.map(runKeyOf));
    this.neverBegun = this.neverBegun.filter(
      (call) => !reported.has(runKeyOf(call)),
    );
  }

  private hold(start?: StartTaskCall): Promise<HostCallResult> {
    return new Promise((resolve) => this.held.push({ start, resolve }));
  }

  private runOf(task: JobTaskId): RunNumber | undefined {
    const runs = [...this.running.values()];
    return runs.find((run) => run.task === task)?.run;
  }

  private fence({ task, run }: RunRef): void {
    if (run > (this.fencedRuns.get(task) ?? 0)) this.fencedRuns.set(task, run);
  }

  private answer(): HostCallResult {
    switch (this.answers) {
      case "ok":
        return { kind: "ok", at: this.at };
      case "refused":
        return { kind: "refused", reason: this.refusal };
      case "silent":
      case "replaced":
      case "draining":
        return { kind: this.answers };
      case "hang":
      case "held":
        throw new Error("unreachable");
    }
  }
}

const firstIncarnationOf = (host: HostId): WorkerInstance =>
  brand<WorkerInstance>(`${host}-1`);

class FakeRoster implements HostRoster {
  /** Whether the store answers; if not, roster entries are not persisted. */
  isStoreAvailable = true;
  private readonly hosts: Map<HostId, WorkerInstance>;

  /** @param previousHosts hosts to whose first incarnation a previous leader may have granted leases */
  constructor(previousHosts: readonly HostId[]) {
    this.hosts = new Map(
      previousHosts.map((host) => [host, firstIncarnationOf(host)]),
    );
  }

  async persist(host: HostId, instance: WorkerInstance): Promise<void> {
    if (!this.isStoreAvailable) return new Promise(() => undefined);
    this.hosts.set(host, instance);
  }

  remove(host: HostId): void {
    this.hosts.delete(host);
  }

  async removalPersisted(): Promise<boolean> {
    return this.isStoreAvailable;
  }

  recordedInstance(host: HostId): WorkerInstance | undefined {
    return this.hosts.get(host);
  }
}

export interface HarnessOptions {
  readonly permits?: PermitService;
  /** Permit rule of the queue. */
  readonly permitRule?: PermitRule;
  readonly epoch?: number;
  /** The previous leader's store, for a leader that takes over. */
  readonly store?: MemoryStore;
  /** Hosts to whose first incarnation a previous leader may have granted leases. */
  readonly roster?: readonly HostId[];
  readonly clock?: ManualClock;
  /** Nothing is logged by default. */
  readonly pauses?: PauseMeter;
  readonly logger?: Logger;
  /** Name of the step order. */
  readonly order?: string;
  /** Overrides of the default job terms. */
  readonly terms?: Partial<JobTerms>;
  /** Overrides of the default policy. */
  readonly policy?: Partial<SchedulingPolicy>;
  /** See EngineOptions. */
  readonly loadSummaryIntervalMs?: number;
  /** Epoch since which all leaders have recorded placements; see EngineOptions. */
  readonly placementsSince?: number;
}

export class EngineHarness {
  readonly clock: ManualClock;
  readonly epoch: number;
  readonly store: MemoryStore;
  readonly metrics = new Metrics();
  readonly engine: JobEngine;
  readonly roster: FakeRoster;
  readonly hosts: FakeHost[] = [];
  isLeader = true;
  /** How often the engine has reported that the placements of all tasks are persisted. */
  completions = 0;
  /** Whether that cannot be recorded now. */
  failsToComplete = false;
  /** Learned records that the engine has stored for the next leader, in order. */
  readonly learned: LearnedRecord[] = [];
  /** Zones under evacuation, in which nothing may be started. */
  readonly evacuatedZones = new Set<AvailabilityZone>();

  private readonly queue: QueueSpec;
  private readonly terms: Partial<JobTerms> | undefined;

  constructor(options: HarnessOptions = {}) {
    const { epoch = 1, roster = [], clock, permitRule } = options;
    const { logger = silentLogger } = options;
    this.queue = { ...QUEUE, permitRule };
    this.terms = options.terms;
    this.clock = clock ?? new ManualClock();
    this.epoch = epoch;
    this.store = options.store ?? new MemoryStore(this.clock);
    const writer = new TopicWriter({
      topic: TOPICS.progress,
      store: this.store,
      clock: this.clock,
      logger: silentLogger,
      producer: "leader",
      epoch,
      batchWindowMs: 0,
      retriesRefusedBatches: true,
    });
    // A leader fences other writers before it starts: the store numbers its records separately.
    if (options.store) void writer.fenceLowerEpochs();
    this.roster = new FakeRoster(roster);
    this.engine = new JobEngine({
      epoch: epoch as unknown as Epoch,
      clock: this.clock,
      logger,
      metrics: this.metrics,
      pauses: options.pauses,
      journal: new ProgressJournal({
        writer,
        clock: this.clock,
        logger: silentLogger,
        batchWindowMs: 5,
      }),
      roster: this.roster,
      gate: new TakeoverGate({
        takenOverAt: this.clock.monotonic(),
        roster,
        leadershipTtlMs: LEADERSHIP_TTL_MS,
        leaseMs: LEASE_MS,
      }),
      order: options.order ?? "byWorth",
      placer: "colocating",
      policy: { ...DEFAULT_POLICY, ...options.policy },
      leaseMs: LEASE_MS,
      stopMs: 200,
      mayDecide: () => this.isLeader,
      queueOf: () => this.queue,
      isEvacuated: (zone) => this.evacuatedZones.has(zone),
      persistLearned: (record) => this.learned.push(record),
      permits: options.permits,
      loadSummaryIntervalMs: options.loadSummaryIntervalMs,
      placementsSince: options.placementsSince,
      onPlacementsComplete: async () => {
        if (this.failsToComplete) throw new Error("not persisted");
        this.completions += 1;
      },
    });
    this.engine.start();
  }

  /** Attaches a host and sends its first reports. */
  async addHost(name: string, zone = ZONE): Promise<FakeHost> {
    const id = brand<HostId>(name);
    const host = new FakeHost(id, this.clock, undefined, undefined, zone);
    this.hosts.push(host);
    this.engine.attach(host.host, host);
    this.reportOf(host);
    await this.clock.advance(1);
    this.reportOf(host);
    await this.clock.advance(20);
    return host;
  }

  reportOf(host: FakeHost): Grant {
    const report = host.reportTo(this.epoch);
    const grant = this.engine.handleReport(host.host, host.zone, report);
    host.confirmReport(report);
    return grant;
  }

  /** Advances the clock while the given hosts report regularly. */
  async run(
    ms: number,
    reporting: readonly FakeHost[] = this.hosts,
  ): Promise<void> {
    const end = this.clock.monotonic() + ms;
    while (this.clock.monotonic() < end) {
      await this.clock.advance(Math.min(100, end - this.clock.monotonic()));
      for (const host of reporting) {
        const grant = this.reportOf(host);
        host.acknowledge(host.instance, grant.acknowledged);
      }
    }
    await this.clock.advance(20);
  }

  submit(
    id: string,
    steps: readonly Partial<StepSpec>[],
    terms: Partial<JobTerms> = {},
  ): AcceptedJob {
    const acceptedAt = this.clock.now();
    const job = plainJob({
      id,
      steps,
      acceptedAt,
      terms: { ...this.terms, ...terms },
    });
    this.engine.addJob(job, undefined);
    return job;
  }
}

const QUEUE: QueueSpec = {
  key: brand<QueueKey>("example/jobs/"),
  name: "jobs",
  hostName: "example",
  pathPrefix: "/jobs/",
  service: SERVICE,
  priority: 0,
  maxAttempts: 2,
  stretch: 2,
  targetLatencyMs: 250,
  permitRule: undefined,
};

export const taskId = (text: string): JobTaskId => brand<JobTaskId>(text);
