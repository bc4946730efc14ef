/** Simulates a site on one clock: hosts, successive leaders, jobs and faults. */

import {
  brand,
  ManualClock,
  pickIndex,
  SeededRandom,
  type AvailabilityZone,
  type HostId,
  type JobTaskId,
  type ServiceName,
} from "@rackspan/common";
import { MemoryStore, type StoreFault } from "@rackspan/standins";
import type {
  JobId,
  JobSpec,
  QueueKey,
  QueueSpec,
  RepeatSpec,
  StepSpec,
} from "@rackspan/state";
import { GangRunTracker } from "./GangRunTracker.js";
import { HostModel } from "./HostModel.js";
import {
  LEADERSHIP,
  VIEW_LAG_MS,
  type PlacementMode,
  type PlacementMutant,
} from "./LeaderModel.js";
import { LeaderSuccession } from "./LeaderSuccession.js";
import { RunHistory } from "./RunHistory.js";
import type { SilentDirection } from "./SideLink.js";
import { SubmittedJobs } from "./SubmittedJobs.js";
import { RestartDelayChecker } from "./RestartDelayChecker.js";
import {
  WorkerModel,
  type IncarnationOptions,
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
  /** Interval of the checks of restart delays, milliseconds. */
  checkEveryMs: 25,
  /** Maximum number of silent workers, so that the others have capacity for all tasks. */
  maxSilentWorkers: 2,
  /** The link is cut this long before the worker is reachable again behind the cut, milliseconds. */
  cutBeforeReturnMs: 100,
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
  readonly closesPreviousLinks: boolean;
  /** How far ahead sides renew the leases of their workers without a leader, milliseconds. */
  readonly unattendedLeaseMs: number;
  /**
   * Whether a leader that was stalled handles all queued messages before its overdue
   * timers, as real processes do; otherwise they run in the order in which they were due.
   */
  readonly deliversMessagesBeforeTimers: boolean;
  /** Share of the runs that fail without an injected fault. */
  readonly failShare: number;
  /** Failure limit of a task. */
  readonly maxAttempts: number;
  /** See WorkerModelOptions. */
  readonly incarnations?: IncarnationOptions | undefined;
  /** Whether the restart delays of tasks of silent workers are checked. */
  readonly checksRestartDelays?: boolean;
  /** Whether sides query the store for the leader only after a time without any grant. */
  readonly staysWithGrantingLeader?: boolean;
  /** See LeaderModelOptions. */
  readonly placementMode?: ((epoch: number) => PlacementMode) | undefined;
  /** See LeaderModelOptions. */
  readonly placementMutant?: PlacementMutant | undefined;
}

export class JobWorld {
  readonly clock = new ManualClock();
  readonly store = new MemoryStore(this.clock);
  readonly history = new RunHistory();
  private readonly gangs = new GangRunTracker(this.clock);
  readonly hosts: HostModel[];
  readonly random: SeededRandom;
  readonly jobs: SubmittedJobs;
  readonly leaders: LeaderSuccession;
  /** Availability zones that leaders see as evacuated. */
  private readonly evacuated = new Set<AvailabilityZone>();
  private evacuations = 0;
  /** Latest evacuation by availability zone; only the latest one may end it. */
  private readonly lastEvacuation = new Map<AvailabilityZone, number>();
  private readonly restartDelays: RestartDelayChecker;

  constructor(private readonly options: JobWorldOptions) {
    this.random = new SeededRandom(options.seed);
    const { clock, store, random } = this;
    this.jobs = new SubmittedJobs({ ...options, clock, store, random });
    this.leaders = new LeaderSuccession({
      ...options,
      clock,
      store,
      queue: QUEUE,
      isEvacuated: (zone) => this.evacuated.has(zone),
      jobs: () => this.jobs.all(),
    });
    this.hosts = Array.from({ length: WORLD.hosts }, (_, index) =>
      this.buildHost(`h${index + 1}`, zoneAt(index)),
    );
    this.restartDelays = new RestartDelayChecker({
      clock: this.clock,
      history: this.history,
      hosts: () => this.hosts,
      leader: () => this.leaders.latest,
      isWanted: (task) => this.jobs.isWanted(task),
    });
    this.leaders.begin();
    if (options.checksRestartDelays) this.checkRestartDelays();
  }

  /** @returns the specification of the job */
  submit(steps: readonly Partial<StepSpec>[], repeat?: RepeatSpec): JobSpec {
    const job = this.jobs.add(steps, repeat);
    this.clock.after(this.random.next() * VIEW_LAG_MS, () =>
      this.leaders.sendToLeader((leader) => leader.addJob(job)),
    );
    return job.spec;
  }

  /** Submits a job whose first task crashes each worker that starts it. */
  submitCrashing(steps: readonly Partial<StepSpec>[]): void {
    this.jobs.crashNext();
    this.submit(steps);
  }

  cancel(id: JobId): void {
    this.jobs.cancel(id);
    const delayMs = this.random.next() * VIEW_LAG_MS;
    this.clock.after(VIEW_LAG_MS + delayMs, () =>
      this.leaders.sendToLeader((leader) => leader.cancelJob(id)),
    );
  }

  /** Crashes a share of the workers together; they return as new incarnations. */
  crashWorkers(share: number, downMs: number): void {
    for (const host of this.hosts) {
      if (this.random.next() >= share || !host.worker.isUp) continue;
      host.worker.crash();
      this.clock.after(downMs * (0.5 + this.random.next()), () =>
        host.worker.restart(),
      );
    }
  }

  /**
   * Crashes a worker, which returns as a new incarnation after the given time, or never when
   * it is infinite. Does nothing while the maximum number of workers is silent.
   */
  loseWorker(downMs: number): void {
    this.silenceWorker(
      ({ worker }) => worker.crash(),
      ({ worker }) => worker.restart(),
      downMs,
    );
  }

  /** Cuts a worker, which runs on, from its side; reconnects it after the given time. */
  cutWorker(cut: WorkerCut, ms: number): HostModel | undefined {
    return this.silenceWorker(
      ({ worker }) => worker.disconnect(cut),
      ({ worker }) => worker.reconnect(),
      ms,
    );
  }

  /** Cuts a worker that becomes reachable again while its side and the leader are cut off. */
  reconnectWorkerBehindCut(
    cut: WorkerCut,
    ms: number,
    cutLinkMs: number,
  ): void {
    const host = this.cutWorker(cut, ms);
    if (!host) return;
    this.clock.after(ms - WORLD.cutBeforeReturnMs, () => (host.isCut = true));
    this.clock.after(ms + cutLinkMs, () => (host.isCut = false));
  }

  private silenceWorker(
    begin: (host: HostModel) => void,
    end: (host: HostModel) => void,
    ms: number,
  ): HostModel | undefined {
    const host = this.pickHost();
    const silent = this.hosts.filter(({ worker }) => !worker.isReachable);
    const isEnough = silent.length >= WORLD.maxSilentWorkers;
    if (isEnough || silent.includes(host)) return undefined;
    const runs = this.history
      .openRuns()
      .filter((run) => run.host === host.host);
    begin(host);
    this.restartDelays.recordSilent(host, runs);
    if (ms < Infinity) this.clock.after(ms, () => end(host));
    return host;
  }

  /** Crashes a worker with all its runs; connections to it are refused until it is back. */
  crashAndRestartWorker(backMs: number): void {
    const { worker } = this.pickHost();
    if (worker.isUp) worker.crashAndRestart(backMs);
  }

  /** Makes a worker short of processor time: polls and their answers are delayed. */
  slowWorker(maxDelayMs: number, forMs: number): void {
    const { worker } = this.pickHost();
    worker.maxPollDelayMs = maxDelayMs;
    this.clock.after(forMs, () => (worker.maxPollDelayMs = 0));
  }

  /** Crashes a worker, which returns at once, and crashes it again after the given time. */
  crashTwice(ms: number): void {
    const { worker } = this.pickHost();
    const crash = (): void => {
      if (!worker.isUp) return;
      worker.crash();
      worker.restart();
    };
    crash();
    this.clock.after(ms, crash);
  }

  cutLink(ms: number): void {
    const host = this.pickHost();
    host.isCut = true;
    this.clock.after(ms, () => (host.isCut = false));
  }

  delayOrders(ms: number): void {
    const host = this.pickHost();
    host.worker.delaysOrders = true;
    this.clock.after(ms, () => (host.worker.delaysOrders = false));
  }

  /** @param overlapMs how long the previous side runs beside the new one, milliseconds */
  restartSide(overlapMs = 0): void {
    this.pickHost().restartSide(overlapMs);
  }

  stopSide(ms: number): void {
    this.pickHost().stopSide(ms);
  }

  /** Drains and deregisters a worker, which ends `lingerMs` later and returns after `downMs`. */
  drainAndDeregister(drainMs: number, lingerMs: number, downMs: number): void {
    const host = this.pickHost();
    const { instance } = host.worker;
    if (!host.worker.isUp || host.draining) return;
    host.draining = true;
    this.clock.after(drainMs, () => {
      host.draining = false;
      if (host.worker.instance !== instance || !host.worker.isUp) return;
      host.deregister(lingerMs);
      this.clock.after(lingerMs + downMs, () => host.worker.restart());
    });
  }

  /** Ends the leader, all sides and all workers at once; they start again. */
  losePower(downMs: number): void {
    this.leaders.kill();
    for (const host of this.hosts) host.restartSide();
    this.crashWorkers(1, downMs);
  }

  /**
   * Cuts hosts, whose workers run on, from all leaders, and ends the leader: the next one
   * takes over without reports of these hosts.
   */
  loseLeaderBesideMissingHosts(count: number, ms: number): void {
    for (let missing = 0; missing < count; missing += 1) this.cutLink(ms);
    this.leaders.kill();
  }

  /**
   * Ends the leader, all sides and all workers at once. The given number of hosts does not
   * come back.
   */
  losePowerAndHosts(lostHosts: number, downMs: number): void {
    this.leaders.kill();
    this.hosts.forEach((host, index) => {
      const isLost = index < lostHosts;
      if (host.worker.isUp) host.worker.crash();
      if (isLost) {
        host.isCut = true;
        return;
      }
      host.restartSide();
      this.clock.after(downMs * (0.5 + this.random.next()), () =>
        host.worker.restart(),
      );
    });
  }

  /** Evacuates a share of the availability zones and ends the evacuation after the given time. */
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
      history.recordEvacuation(host, clock.monotonic());
    clock.after(this.random.next() * VIEW_LAG_MS, () => evacuated.add(zone));
    clock.after(VIEW_LAG_MS + ms, () => {
      if (this.lastEvacuation.get(zone) !== number) return;
      for (const { host } of hosts) history.recordEvacuationEnd(host);
      evacuated.delete(zone);
      this.leaders.sendToLeader((leader) => leader.handleOperatorChange());
    });
  }

  resetLink(): void {
    this.pickHost().resetLink();
  }

  /** Makes a connection between a side and its leader silent; new connections work. */
  silenceLink(direction: SilentDirection, ms: number): void {
    this.pickHost().silenceLink(direction, ms);
  }

  /** Makes the connections of all sides silent at once. */
  silenceLinks(direction: SilentDirection, ms: number): void {
    for (const host of this.hosts) host.silenceLink(direction, ms);
  }

  /** Makes connections to a worker silent, each with one call on it; new connections work. */
  silenceCalls(share: number, forMs: number): void {
    const { worker } = this.pickHost();
    worker.dropCalls(share);
    this.clock.after(forMs, () => worker.dropCalls(0));
  }

  /** Delays the heartbeats of a worker for the given time. */
  delayHeartbeats(maxDelayMs: number, forMs: number): void {
    const host = this.pickHost();
    host.maxHeartbeatDelayMs = maxDelayMs;
    this.clock.after(forMs, () => (host.maxHeartbeatDelayMs = 0));
  }

  /** Delays the heartbeats of a worker and crashes it twice within that time. */
  crashWithLateHeartbeats(maxDelayMs: number, backMs: number): void {
    const host = this.pickHost();
    const { worker } = host;
    const crash = (): void => {
      if (!worker.isUp) return;
      worker.crash();
      this.clock.after(backMs, () => worker.restart());
    };
    host.maxHeartbeatDelayMs = maxDelayMs;
    this.clock.after(maxDelayMs / 3, crash);
    this.clock.after((2 * maxDelayMs) / 3, crash);
    this.clock.after(maxDelayMs, () => (host.maxHeartbeatDelayMs = 0));
  }

  drain(ms: number): void {
    const host = this.pickHost();
    host.draining = true;
    this.clock.after(ms, () => (host.draining = false));
  }

  /** @param share of the initial capacity of workers */
  changeCapacity(share: number): void {
    this.pickHost().worker.changeCapacity(share * WORLD.milliCores);
  }

  restoreCapacities(): void {
    for (const { worker } of this.hosts)
      worker.changeCapacity(WORLD.milliCores);
  }

  failStore(fault: StoreFault, ms: number): void {
    this.store.fault = fault;
    this.clock.after(ms, () => (this.store.fault = "none"));
  }

  private checkRestartDelays(): void {
    this.restartDelays.check();
    this.clock.after(WORLD.checkEveryMs, () => this.checkRestartDelays());
  }

  /** Open runs of cancelled jobs. */
  runsOfCancelledJobs(): readonly JobTaskId[] {
    return this.history
      .openRuns()
      .map(({ task }) => task)
      .filter((task) => this.jobs.isCancelled(task));
  }

  checkEnds(): void {
    for (const { host, worker } of this.hosts) {
      const { listedEnds } = worker;
      if (listedEnds === 0) continue;
      const detail = `${host} lists ${listedEnds} ends`;
      this.history.add("unacknowledged", this.clock.monotonic(), detail);
    }
    for (const task of this.jobs.crashingTasks()) {
      this.history.checkCrashes(task);
    }
    this.history.checkEnds(
      this.options.maxAttempts,
      (task) => this.jobs.isLastingTask(task),
      (task) => this.jobs.gangOf(task),
    );
  }

  private pickHost(): HostModel {
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
      traitsOf: (task) => this.jobs.traitsOf(task),
      incarnations: this.options.incarnations,
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
      onStartOrder: (task) => this.restartDelays.recordStartOrder(task),
      deliversMessagesBeforeTimers: this.options.deliversMessagesBeforeTimers,
      staysWithGrantingLeader: this.options.staysWithGrantingLeader ?? false,
      findLeader: () => this.leaders.named,
    });
  }
}
