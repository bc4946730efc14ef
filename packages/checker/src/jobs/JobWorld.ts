/** A site on one clock: hosts, one leader after the other, jobs, faults. */

import {
  brand,
  ManualClock,
  pickIndex,
  SeededRandom,
  type AvailabilityZone,
  type Epoch,
  type HostId,
  type JobTaskId,
  type ServiceName,
} from "@rackspan/common";
import {
  decodeProgress,
  isFinal,
  parseTaskId,
  taskIdAt,
  TOPICS,
  type AcceptedJob,
  type JobId,
  type JobStateName,
  type QueueKey,
  type QueueSpec,
  type RepeatSpec,
  type StepSpec,
} from "@rackspan/state";
import { MemoryStore, plainJob, type StoreFault } from "@rackspan/standins";
import { GangBook } from "./GangBook.js";
import { HostModel } from "./HostModel.js";
import { LEADERSHIP, LeaderModel, VIEW_LAG_MS } from "./LeaderModel.js";
import { RunHistory } from "./RunHistory.js";
import { TakeoverWaits } from "./TakeoverWaits.js";
import type { TaskTraits } from "./TaskTraits.js";
import {
  WorkerModel,
  type LivesOfWorker,
  type WorkerCut,
} from "./WorkerModel.js";

const ZONES = ["obihiro-a", "otofuke-b"].map((name) =>
  brand<AvailabilityZone>(name),
);

const zoneAt = (index: number): AvailabilityZone =>
  ZONES[index % ZONES.length] as AvailabilityZone;

const WORLD = {
  hosts: 5,
  milliCores: 4_000,
  electionMs: { every: 100, wait: 300 },
  /** How often it is looked at what waits, milliseconds. */
  lookEveryMs: 25,
  /** Workers that may be silent at once, so that the others have room for all. */
  mostSilent: 2,
  /** A link is cut this long before a worker's return that it hides, milliseconds. */
  hiddenBeforeMs: 100,
} as const;

const QUEUE: QueueSpec = {
  key: brand<QueueKey>("calls.example/minutes/"),
  name: "minutes",
  hostName: "calls.example",
  pathPrefix: "/minutes/",
  service: brand<ServiceName>("kaigi"),
  priority: 0,
  maxAttempts: 3,
  stretch: 2,
  targetLatencyMs: 250,
  permitRule: undefined,
};

export interface JobWorldOptions {
  readonly seed: number;
  /** See LeaderModelOptions. */
  readonly endsFormerLinks: boolean;
  /** How far ahead sides renew the leases of their workers, milliseconds. */
  readonly unattendedLeaseMs: number;
  /**
   * Whether a leader that stood still takes all that has come before its late
   * timers, as processes do; else these come in the order in which they were due.
   */
  readonly takesArrivalsFirst: boolean;
  /** Share of the runs that fail by themselves. */
  readonly failShare: number;
  /** How often a task may fail. */
  readonly maxAttempts: number;
  /** See WorkerModelOptions. */
  readonly lives?: LivesOfWorker | undefined;
  /** Whether it is judged how long tasks of silent workers wait. */
  readonly judgesWaits?: boolean;
  /** Whether sides ask the store who leads only once nothing was granted for a while. */
  readonly staysWithGranter?: boolean;
}

export class JobWorld {
  readonly clock = new ManualClock();
  readonly store = new MemoryStore(this.clock);
  readonly history = new RunHistory();
  private readonly gangs = new GangBook(this.clock);
  readonly hosts: HostModel[];
  readonly random: SeededRandom;
  private readonly jobs = new Map<JobId, AcceptedJob>();
  private readonly cancelled = new Set<JobId>();
  /** Jobs whose first task crashes each worker that starts it. */
  private readonly crashing = new Set<JobId>();
  /** Zones that leaders see as evacuated. */
  private readonly evacuated = new Set<AvailabilityZone>();
  private evacuations = 0;
  /** By zone: only the last evacuation that was asked for takes it back. */
  private readonly lastEvacuation = new Map<AvailabilityZone, number>();
  private leader: LeaderModel | undefined;
  private epoch = 0;
  private readonly waits: TakeoverWaits;

  constructor(private readonly options: JobWorldOptions) {
    this.random = new SeededRandom(options.seed);
    this.hosts = Array.from({ length: WORLD.hosts }, (_, index) =>
      this.buildHost(`h${index + 1}`, zoneAt(index)),
    );
    this.waits = new TakeoverWaits({
      clock: this.clock,
      history: this.history,
      hosts: () => this.hosts,
      leader: () => this.leader,
      isWanted: (task) => this.isWanted(task),
    });
    this.elect();
    if (options.judgesWaits) this.judgeWaits();
  }

  /** Jobs that nobody has cancelled. */
  get wanted(): JobId[] {
    return [...this.jobs.keys()].filter((id) => !this.cancelled.has(id));
  }

  isLasting(id: JobId): boolean {
    return this.jobs.get(id)?.spec.steps[0]?.lasting === true;
  }

  isLastingTask(task: JobTaskId): boolean {
    const position = parseTaskId(task);
    return position !== undefined && this.isLasting(position.job);
  }

  submit(steps: readonly Partial<StepSpec>[], repeat?: RepeatSpec): void {
    const { clock, jobs, random } = this;
    const job = plainJob({
      id: `job${jobs.size}`,
      steps,
      repeat,
      acceptedAt: clock.now(),
      terms: { maxAttempts: this.options.maxAttempts },
    });
    jobs.set(job.spec.id, job);
    clock.after(random.next() * VIEW_LAG_MS, () =>
      this.tellLeader((leader) => leader.addJob(job)),
    );
  }

  /** A job whose first task crashes each worker that starts it. */
  submitCrashing(steps: readonly Partial<StepSpec>[]): void {
    this.crashing.add(brand<JobId>(`job${this.jobs.size}`));
    this.submit(steps);
  }

  cancel(id: JobId): void {
    this.cancelled.add(id);
    const delayMs = this.random.next() * VIEW_LAG_MS;
    this.clock.after(VIEW_LAG_MS + delayMs, () =>
      this.tellLeader((leader) => leader.cancelJob(id)),
    );
  }

  /** Workers fall silent together and come back as other lives. */
  crashWorkers(share: number, downMs: number): void {
    for (const host of this.hosts) {
      if (this.random.next() >= share || !host.worker.isUp) continue;
      host.worker.crash();
      this.clock.after(downMs * (0.5 + this.random.next()), () =>
        host.worker.revive(),
      );
    }
  }

  /**
   * A worker falls silent, and is back under another life after that time; never when
   * it is infinite. Does nothing while enough others are silent.
   */
  loseWorker(downMs: number): void {
    this.silenceWorker(
      ({ worker }) => worker.crash(),
      ({ worker }) => worker.revive(),
      downMs,
    );
  }

  /** A worker falls silent and goes on by itself; its side hears it again after that time. */
  cutWorker(cut: WorkerCut, ms: number): HostModel | undefined {
    return this.silenceWorker(
      ({ worker }) => worker.cutOff(cut),
      ({ worker }) => worker.rejoin(),
      ms,
    );
  }

  /** It comes back while its side and the leader cannot reach each other. */
  hideReturn(cut: WorkerCut, ms: number, cutLinkMs: number): void {
    const host = this.cutWorker(cut, ms);
    if (!host) return;
    this.clock.after(ms - WORLD.hiddenBeforeMs, () => (host.isCut = true));
    this.clock.after(ms + cutLinkMs, () => (host.isCut = false));
  }

  private silenceWorker(
    begin: (host: HostModel) => void,
    end: (host: HostModel) => void,
    ms: number,
  ): HostModel | undefined {
    const host = this.anyHost();
    const silent = this.hosts.filter(({ worker }) => !worker.isHeard);
    const isEnough = silent.length >= WORLD.mostSilent;
    if (isEnough || silent.includes(host)) return undefined;
    const runs = this.history
      .openRuns()
      .filter((run) => run.host === host.host);
    begin(host);
    this.waits.noteSilent(host, runs);
    if (ms < Infinity) this.clock.after(ms, () => end(host));
    return host;
  }

  /** A worker ends whatever runs there; connections to it are refused until it is back. */
  breakWorkerDown(backMs: number): void {
    const { worker } = this.anyHost();
    if (worker.isUp) worker.breakDown(backMs);
  }

  /** A worker is short of processor time: its looks and their answers wait. */
  slowWorker(mostMs: number, forMs: number): void {
    const { worker } = this.anyHost();
    worker.slowMs = mostMs;
    this.clock.after(forMs, () => (worker.slowMs = 0));
  }

  /** A worker crashes and is back at once; after that time once more. */
  crashTwice(ms: number): void {
    const { worker } = this.anyHost();
    const crash = (): void => {
      if (!worker.isUp) return;
      worker.crash();
      worker.revive();
    };
    crash();
    this.clock.after(ms, crash);
  }

  cutLink(ms: number): void {
    const host = this.anyHost();
    host.isCut = true;
    this.clock.after(ms, () => (host.isCut = false));
  }

  carryOutLate(ms: number): void {
    const host = this.anyHost();
    host.worker.lateOrders = true;
    this.clock.after(ms, () => (host.worker.lateOrders = false));
  }

  /** @param overlapMs for which the side before runs beside the next one */
  restartSide(overlapMs = 0): void {
    this.anyHost().restartSide(overlapMs);
  }

  loseSide(ms: number): void {
    this.anyHost().loseSide(ms);
  }

  /** A worker drains, says that it leaves, and ends up to some milliseconds later. */
  leave(drainMs: number, lingerMs: number, downMs: number): void {
    const host = this.anyHost();
    const { instance } = host.worker;
    if (!host.worker.isUp || host.draining) return;
    host.draining = true;
    this.clock.after(drainMs, () => {
      host.draining = false;
      if (host.worker.instance !== instance || !host.worker.isUp) return;
      host.leave(lingerMs);
      this.clock.after(lingerMs + downMs, () => host.worker.revive());
    });
  }

  /** All workers, sides and the leader end at once, and come back. */
  losePower(downMs: number): void {
    this.leader?.kill();
    for (const host of this.hosts) host.restartSide();
    this.crashWorkers(1, downMs);
  }

  /** Nothing more is to begin in a zone, or in any; it is taken back after that time. */
  evacuate(share: number, ms: number): void {
    for (const zone of ZONES) {
      if (this.random.next() < share) this.evacuateZone(zone, ms);
    }
  }

  private evacuateZone(zone: AvailabilityZone, ms: number): void {
    const { clock, history, evacuated } = this;
    const hosts = this.hosts.filter((host) => host.zone === zone);
    this.evacuations += 1;
    const number = this.evacuations;
    this.lastEvacuation.set(zone, number);
    for (const { host } of hosts)
      history.noteEvacuated(host, clock.monotonic());
    clock.after(this.random.next() * VIEW_LAG_MS, () => evacuated.add(zone));
    clock.after(VIEW_LAG_MS + ms, () => {
      if (this.lastEvacuation.get(zone) !== number) return;
      for (const { host } of hosts) history.noteTakenBack(host);
      evacuated.delete(zone);
      this.tellLeader((leader) => leader.noteOperator());
    });
  }

  resetLink(): void {
    this.anyHost().resetLink();
  }

  drain(ms: number): void {
    const host = this.anyHost();
    host.draining = true;
    this.clock.after(ms, () => (host.draining = false));
  }

  freezeLeader(ms: number): void {
    const { leader } = this;
    if (!leader || leader.isDead) return;
    leader.clock.pause();
    this.clock.after(ms, () =>
      this.options.takesArrivalsFirst
        ? leader.clock.catchUp()
        : leader.clock.resume(),
    );
  }

  /** What comes is taken, but the leader's timers wait: it is short of processor time. */
  starveLeader(ms: number): void {
    const { leader, clock } = this;
    if (!leader || leader.isDead) return;
    leader.clock.starve();
    clock.after(ms, () => leader.clock.catchUp());
  }

  suspendLeader(ms: number): void {
    this.leader?.clock.suspend(ms);
  }

  /** @param share of the room that workers have at first */
  changeRoom(share: number): void {
    this.anyHost().worker.changeRoom(share * WORLD.milliCores);
  }

  restoreRooms(): void {
    for (const { worker } of this.hosts) worker.changeRoom(WORLD.milliCores);
  }

  killLeader(): void {
    this.leader?.kill();
  }

  /** For good: the store gives the leadership to another one once its term is over. */
  cutLeaderFromStore(): void {
    if (this.leader) this.leader.isCutFromStore = true;
  }

  /** The store makes another entry lead at once, and the one before does not hear of it. */
  dropLeader(): void {
    if (!this.leader?.leads) return;
    this.leader.isCutFromStore = true;
    this.beginTerm();
  }

  failStore(fault: StoreFault, ms: number): void {
    this.store.fault = fault;
    this.clock.after(ms, () => (this.store.fault = "none"));
  }

  /** Whether the store keeps that the job has ended. */
  hasEnded(id: JobId): boolean {
    const state = this.stateOf(id);
    return state !== undefined && isFinal(state);
  }

  private stateOf(id: JobId): JobStateName | undefined {
    const record = this.store
      .recordsOf(TOPICS.progress)
      .findLast(({ key }) => key === (id as unknown as string));
    return record?.value && decodeProgress(id, record.value).state;
  }

  /** Whether the store keeps that the job was given up, which only crashes or failures may bring about. */
  hasFailed(id: JobId): boolean {
    return this.stateOf(id) === "failed";
  }

  /** Under how many runs of one of its tasks workers ended, at the most. */
  mostCrashes(id: JobId): number {
    return this.history.mostCrashes(id);
  }

  isCrashing(id: JobId): boolean {
    return this.crashing.has(id);
  }

  private isWanted(task: JobTaskId): boolean {
    const job = parseTaskId(task)?.job;
    if (job === undefined || this.cancelled.has(job)) return false;
    return !this.hasEnded(job);
  }

  private judgeWaits(): void {
    this.waits.look();
    this.clock.after(WORLD.lookEveryMs, () => this.judgeWaits());
  }

  /** Runs of jobs that somebody has cancelled. */
  unwantedRuns(): readonly JobTaskId[] {
    return this.history
      .openRuns()
      .map(({ task }) => task)
      .filter((task) => {
        const position = parseTaskId(task);
        return position !== undefined && this.cancelled.has(position.job);
      });
  }

  checkEnds(): void {
    for (const { host, worker } of this.hosts) {
      const { listedEnds } = worker;
      if (listedEnds === 0) continue;
      const detail = `${host} lists ${listedEnds} ends`;
      this.history.add("unacknowledged", this.clock.monotonic(), detail);
    }
    for (const id of this.crashing) {
      const position = { job: id, occurrence: 0, step: 0, index: 0 };
      this.history.checkCrashes(taskIdAt(position));
    }
    this.history.checkEnds(
      this.options.maxAttempts,
      (task) => this.isLastingTask(task),
      (task) => this.gangOf(task),
    );
  }

  /** All tasks of the task's gang; none when it is of no gang. */
  private gangOf(task: JobTaskId): readonly JobTaskId[] {
    const position = parseTaskId(task);
    const job = position && this.jobs.get(position.job);
    const step = position && job?.spec.steps[position.step];
    if (!position || !step?.gang) return [];
    return Array.from({ length: step.taskCount }, (_, index) =>
      taskIdAt({ ...position, index }),
    );
  }

  private anyHost(): HostModel {
    return this.hosts[pickIndex(this.random, this.hosts.length)] as HostModel;
  }

  private buildHost(name: string, zone: AvailabilityZone): HostModel {
    const { clock, random, history } = this;
    const host = brand<HostId>(name);
    const { milliCores } = WORLD;
    const worker = new WorkerModel({
      host,
      clock,
      random,
      history,
      gangs: this.gangs,
      milliCores,
      traitsOf: (task) => this.traitsOf(task),
      lives: this.options.lives,
    });
    return new HostModel({
      host,
      zone,
      service: QUEUE.service,
      clock,
      random,
      worker,
      unattendedLeaseMs: this.options.unattendedLeaseMs,
      longestLeaseMs: LEADERSHIP.leaseMs,
      onOrder: (task) => this.waits.noteOrdered(task),
      takesArrivalsFirst: this.options.takesArrivalsFirst,
      staysWithGranter: this.options.staysWithGranter ?? false,
      findLeader: () => (this.leader?.isDead ? undefined : this.leader),
    });
  }

  private traitsOf(task: JobTaskId): TaskTraits {
    const position = parseTaskId(task);
    const job = position && this.jobs.get(position.job);
    const step = position && job?.spec.steps[position.step];
    if (!position || !step) throw new Error(`nobody has submitted ${task}`);
    const { demand, filling, tailTargetMs, taskCount: size } = step;
    const runMs = step.lasting
      ? undefined
      : step.estimateMs * (0.5 + this.random.next());
    const fails = this.random.next() < this.options.failShare;
    const isFirst = position.step === 0 && position.index === 0;
    const crashes = isFirst && this.crashing.has(position.job);
    const gang = step.gang && runMs !== undefined;
    return {
      milliCores: filling ? 0 : demand.milliCores,
      runMs,
      fails,
      crashes,
      gang: gang ? { size, runMs, fails } : undefined,
      reading: filling ? demand.milliCores : tailTargetMs / 2,
      saves: step.checkpointing,
    };
  }

  private tellLeader(tell: (leader: LeaderModel) => void): void {
    const { leader } = this;
    leader?.clock.after(0, () => tell(leader));
  }

  /** The store makes another entry lead once the last one's term is over. */
  private elect(): void {
    const { leader, clock } = this;
    const isVacant =
      !leader || clock.monotonic() - leader.confirmedAt >= LEADERSHIP.ttlMs;
    if (isVacant) this.beginTerm();
    clock.after(WORLD.electionMs.every, () => this.elect());
  }

  private beginTerm(): void {
    this.epoch += 1;
    const leader = new LeaderModel({
      epoch: this.epoch as unknown as Epoch,
      clock: this.clock,
      store: this.store,
      queue: QUEUE,
      endsFormerLinks: this.options.endsFormerLinks,
      isEvacuated: (zone) => this.evacuated.has(zone),
      jobs: () =>
        [...this.jobs.values()].map((accepted) => ({
          accepted,
          isCancelled: this.cancelled.has(accepted.spec.id),
        })),
    });
    this.leader = leader;
    leader.begin().catch(() => leader.end());
  }
}
