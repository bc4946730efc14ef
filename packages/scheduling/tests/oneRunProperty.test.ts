/**
 * Property test under random faults: each task has at most one run at a time, whichever
 * incarnation of a worker a message refers to.
 */

import { test } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import type { JobTaskId, WorkerInstance, WorkerTime } from "@rackspan/common";
import { runKeyOf } from "@rackspan/ports";
import type {
  HostCallResult,
  HostReport,
  StartTaskCall,
} from "@rackspan/protocol";
import {
  decodeProgress,
  TOPICS,
  type AcceptedJob,
  type ProgressRecord,
} from "@rackspan/state";
import { EngineHarness, FakeHost, ZONE } from "./engineHarness.js";

const HOSTS = 3;
const TASKS_PER_JOB = 4;
/** Longer than the time after which an unanswered order expires. */
const RECOVERY_MS = 6_000;
/** Time within which a leader persists what was reported to it. */
const PERSISTENCE_MS = 30;
/** The seed is fixed so that a failure can be reproduced. */
const PROPERTY_OPTIONS = { seed: 1, numRuns: 150 } as const;

/** An order that the side has not answered yet. */
interface OpenOrder {
  readonly call: StartTaskCall;
  readonly resolve: (result: HostCallResult) => void;
  /** The worker's answer; undefined while the order has not arrived there. */
  outcome: HostCallResult | undefined;
}

/** A host for which the simulation determines when orders arrive and when they are answered. */
class DelayedHost extends FakeHost {
  /** Highest epoch that the worker has received; it refuses orders with a lower one. */
  private epoch = 0;
  /** Result of the last poll while it has not been reported to the leader. */
  private polled: HostReport | undefined;
  private orders: OpenOrder[] = [];
  /** Orders whose answers have timed out; the worker may still execute them. */
  private readonly timedOut: OpenOrder[] = [];

  override startTask(call: StartTaskCall): Promise<HostCallResult> {
    this.starts.push(call);
    return new Promise((resolve) => {
      this.orders.push({ call, resolve, outcome: undefined });
    });
  }

  /** The side polls the worker and reports the result later. */
  poll(epoch: number): void {
    this.epoch = epoch;
    this.polled = this.report();
  }

  /** The next report to the leader: the result of the last poll, or of a new one. */
  takePolled(epoch: number): HostReport {
    if (!this.polled) this.poll(epoch);
    const polled = this.polled as HostReport;
    this.polled = undefined;
    const ended = polled.ended.filter(
      ({ number }) => number > this.acknowledged,
    );
    return { ...polled, ended };
  }

  /** Drops the last poll: a side reports none from before it attached or of a previous incarnation. */
  dropPolled(): void {
    this.polled = undefined;
  }

  override replaceWorker(): void {
    super.replaceWorker();
    this.dropPolled();
    this.acknowledged = 0;
    this.epoch = 0;
  }

  /** @param isTimedOut whether the answer to the order has timed out at the side */
  arrive(pick: number, isTimedOut: boolean): void {
    const orders = isTimedOut ? this.timedOut : this.orders;
    const open = orders.filter(({ outcome }) => outcome === undefined);
    const order = pickFrom(open, pick);
    if (order) order.outcome = this.execute(order.call);
  }

  /** Answers an order: with the worker's answer if that is known, otherwise as silent. */
  answerOne(pick: number, isKnown: boolean): void {
    const order = pickFrom(this.orders, pick);
    if (!order) return;
    this.orders = this.orders.filter((other) => other !== order);
    if (!order.outcome) this.timedOut.push(order);
    order.resolve(isKnown && order.outcome ? order.outcome : SILENT);
  }

  answerAll(): void {
    while (this.orders.length > 0) {
      this.arrive(0, false);
      this.answerOne(0, true);
    }
  }

  private execute(call: StartTaskCall): HostCallResult {
    if (call.instance !== this.instance) return { kind: "replaced" };
    if (call.epoch < this.epoch) return { kind: "refused", reason: "fenced" };
    if (this.draining) return { kind: "draining" };
    if (call.leaseUntil < this.at) return { kind: "refused", reason: "late" };
    this.startLate(call);
    const hasStarted = this.runs.some(
      (run) => runKeyOf(run) === runKeyOf(call),
    );
    return hasStarted
      ? { kind: "ok", at: this.at }
      : { kind: "refused", reason: "old-run" };
  }
}

const SILENT: HostCallResult = { kind: "silent" };

const pickFrom = <T>(items: readonly T[], pick: number): T | undefined =>
  items[pick % Math.max(1, items.length)];

const pick = fc.nat(20);
const host = fc.nat(HOSTS - 1);

/** Events that may happen in one step of the simulation. */
const eventArbitrary = fc.oneof(
  fc.record({ kind: fc.constant("submit" as const) }),
  fc.record({
    kind: fc.constant("arrive" as const),
    host,
    pick,
    isGivenUp: fc.boolean(),
  }),
  fc.record({
    kind: fc.constant("answer" as const),
    host,
    pick,
    isKnown: fc.boolean(),
  }),
  {
    weight: 3,
    arbitrary: fc.record({ kind: fc.constant("answer-all" as const) }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant("end" as const),
      pick,
      outcome: fc.constantFrom("done" as const, "failed" as const),
    }),
  },
  fc.record({
    kind: fc.constant("replace-worker" as const),
    host,
    isToldFirst: fc.boolean(),
  }),
  fc.record({ kind: fc.constant("tell-gone" as const), pick }),
  fc.record({ kind: fc.constant("report" as const), host }),
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant("start-after-look" as const),
      host,
      pick,
    }),
  },
  fc.record({ kind: fc.constant("look" as const), host }),
  fc.record({ kind: fc.constant("cancel" as const), pick }),
  fc.record({ kind: fc.constant("change-leader" as const) }),
  fc.record({ kind: fc.constant("drain" as const), host }),
  fc.record({ kind: fc.constant("attach" as const), host }),
  fc.record({
    kind: fc.constant("pass" as const),
    ms: fc.integer({ min: 100, max: 900 }),
  }),
);
type Event = typeof eventArbitrary extends fc.Arbitrary<infer T> ? T : never;
type StartAfterPoll = Extract<Event, { kind: "start-after-look" }>;
type PlainEvent = Exclude<
  Event,
  { kind: "pass" | "change-leader" | "start-after-look" }
>;
type HostEvent = Extract<PlainEvent, { host: number }>;

const stepArbitrary = fc.record({
  event: eventArbitrary,
  /** Time until the next event, during which nothing is reported, milliseconds. */
  thenMs: fc.integer({ min: 0, max: 30 }),
});
type Step = typeof stepArbitrary extends fc.Arbitrary<infer T> ? T : never;

const TERMS = { maxAttempts: 50 } as const;

class Simulation {
  /** Violations: second runs, runs of tasks that are done, and runs of cancelled jobs. */
  readonly violations: string[] = [];
  private harness = new EngineHarness({ terms: TERMS });
  private readonly hosts: DelayedHost[] = [];
  /** Ended incarnations, whose end may be reported to the leader repeatedly. */
  private readonly gone: [DelayedHost, WorkerInstance][] = [];
  /** Tasks that were reported to the leader as done. */
  private readonly done = new Set<JobTaskId>();
  /** Worker clock of the last report; a report with the same clock contains nothing new. */
  private readonly reportedAt = new Map<DelayedHost, WorkerTime>();
  private readonly jobs: AcceptedJob[] = [];
  private readonly cancelled = new Set<AcceptedJob>();

  async start(): Promise<void> {
    for (let number = 1; number <= HOSTS; number += 1) {
      const id = `h${number}` as unknown as FakeHost["host"];
      const each = new DelayedHost(
        id,
        this.harness.clock,
        undefined,
        16_000,
        ZONE,
      );
      this.hosts.push(each);
      this.harness.engine.attach(each.host, each);
    }
    await this.advance(200);
  }

  async apply({ event, thenMs }: Step): Promise<void> {
    if (event.kind === "pass") await this.advance(event.ms);
    else if (event.kind === "change-leader") await this.changeLeader();
    else if (event.kind === "start-after-look")
      await this.startAfterPoll(event);
    else this.applyEvent(event);
    await this.harness.clock.advance(thenMs);
    this.checkInvariants();
  }

  async recover(): Promise<void> {
    for (let at = 0; at < RECOVERY_MS; at += 100) {
      for (const each of this.hosts) {
        each.draining = false;
        each.answerAll();
      }
      await this.advance(100);
      this.checkInvariants();
    }
    this.checkCancelledJobs();
  }

  private applyEvent(event: PlainEvent): void {
    switch (event.kind) {
      case "submit":
        return this.submit();
      case "cancel":
        return this.cancel(event.pick);
      case "answer-all":
        for (const each of this.hosts) each.answerAll();
        return;
      case "end":
        return this.endRun(event.pick, event.outcome);
      case "tell-gone": {
        const ended = pickFrom(this.gone, event.pick);
        if (ended) this.reportGone(...ended);
        return;
      }
      default:
        this.applyHostEvent(this.hosts[event.host] as DelayedHost, event);
    }
  }

  private applyHostEvent(at: DelayedHost, event: HostEvent): void {
    switch (event.kind) {
      case "arrive":
        return at.arrive(event.pick, event.isGivenUp);
      case "answer":
        return at.answerOne(event.pick, event.isKnown);
      case "report":
        return this.report(at);
      case "look":
        return at.poll(this.harness.epoch);
      case "drain":
        at.draining = !at.draining;
        return;
      case "attach":
        return this.attach(at);
      case "replace-worker":
        return this.replaceWorker(at, event.isToldFirst);
    }
  }

  private submit(): void {
    const steps = [{ taskCount: TASKS_PER_JOB }];
    const id = `j${this.jobs.length + 1}`;
    this.jobs.push(this.harness.submit(id, steps));
  }

  private cancel(pick: number): void {
    const job = pickFrom(this.jobs, pick);
    if (!job) return;
    this.cancelled.add(job);
    this.harness.engine.cancelJob(job.spec.id);
  }

  /** The worker answers a start in the same millisecond as the poll that is reported next. */
  private async startAfterPoll({ host, pick }: StartAfterPoll): Promise<void> {
    const at = this.hosts[host] as DelayedHost;
    at.poll(this.harness.epoch);
    at.arrive(pick, false);
    at.answerOne(pick, true);
    await this.harness.clock.advance(0);
    this.report(at);
  }

  private attach(at: DelayedHost): void {
    at.dropPolled();
    this.harness.engine.attach(at.host, at);
  }

  /** The next leader reads what the previous one has persisted, and all hosts attach to it. */
  private async changeLeader(): Promise<void> {
    const previous = this.harness;
    const { clock, store, epoch } = previous;
    await clock.advance(PERSISTENCE_MS);
    previous.isLeader = false;
    previous.engine.stop();
    const roster = this.hosts.map(({ host }) => host);
    this.harness = new EngineHarness({
      epoch: epoch + 1,
      store,
      roster,
      clock,
      terms: TERMS,
    });
    for (const host of roster) {
      const instance = previous.roster.recordedInstance(host);
      if (instance) await this.harness.roster.persist(host, instance);
    }
    const progressOf = await progressIn(previous);
    for (const job of this.jobs) {
      this.harness.engine.addJob(job, progressOf(job));
      if (this.cancelled.has(job)) this.harness.engine.cancelJob(job.spec.id);
    }
    for (const each of this.hosts) this.attach(each);
  }

  private endRun(pick: number, outcome: "done" | "failed"): void {
    const all = this.hosts.flatMap((at) => at.runs.map((run) => ({ at, run })));
    const found = pickFrom(all, pick);
    found?.at.end(found.run.task, outcome, found.run.run);
  }

  private replaceWorker(at: DelayedHost, isReportedFirst: boolean): void {
    const { instance } = at;
    this.gone.push([at, instance]);
    at.draining = false;
    at.replaceWorker();
    at.lostRuns = [];
    if (isReportedFirst) this.reportGone(at, instance);
  }

  private reportGone(at: DelayedHost, instance: WorkerInstance): void {
    void this.harness.engine.handleWorkerGone(at.host, instance);
  }

  private report(at: DelayedHost): void {
    const { engine, epoch } = this.harness;
    const report = at.takePolled(epoch);
    if (this.reportedAt.get(at) === report.at) return;
    this.reportedAt.set(at, report.at);
    const grant = engine.handleReport(at.host, at.zone, report);
    at.acknowledge(at.instance, grant.acknowledged);
    for (const { task, outcome } of report.ended) {
      if (outcome === "done") this.done.add(task);
    }
  }

  /** Advances the clock while all hosts report regularly. */
  private async advance(ms: number): Promise<void> {
    const until = this.harness.clock.monotonic() + ms;
    for (const each of this.hosts) this.report(each);
    while (this.harness.clock.monotonic() < until) {
      await this.harness.clock.advance(50);
      for (const each of this.hosts) this.report(each);
      this.checkInvariants();
    }
  }

  private checkInvariants(): void {
    const running = new Set<JobTaskId>();
    for (const { task } of this.hosts.flatMap(({ runs }) => runs)) {
      if (running.has(task)) this.violations.push(`${task} has two runs`);
      if (this.done.has(task))
        this.violations.push(`${task} runs although it is done`);
      running.add(task);
    }
  }

  private checkCancelledJobs(): void {
    const isCancelled = (task: JobTaskId): boolean =>
      [...this.cancelled].some(({ spec }) => task.startsWith(`${spec.id}.`));
    for (const { task } of this.hosts.flatMap(({ runs }) => runs)) {
      if (isCancelled(task))
        this.violations.push(`${task} runs although it is cancelled`);
    }
  }
}

/** The progress of each job in the store of a leader. */
const progressIn = async ({
  store,
}: EngineHarness): Promise<
  (job: AcceptedJob) => ProgressRecord | undefined
> => {
  const { records } = await store.readNewest(TOPICS.progress);
  const values = new Map(records.map(({ key, value }) => [key, value]));
  return ({ spec }) => {
    const value = values.get(String(spec.id));
    return value && decodeProgress(spec.id, value);
  };
};

test("whichever incarnation an answer, a report or a deregistration refers to, a task has at most one run, and none once it is done", async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(stepArbitrary, { minLength: 20, maxLength: 60, size: "max" }),
      async (steps) => {
        const simulation = new Simulation();
        await simulation.start();
        for (const step of steps) await simulation.apply(step);
        await simulation.recover();
        expect(simulation.violations).toEqual([]);
      },
    ),
    PROPERTY_OPTIONS,
  );
});
