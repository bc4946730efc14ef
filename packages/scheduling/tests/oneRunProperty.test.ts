/** Tasks under random faults: whichever life a message speaks of, each has one run at a time. */

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
/** Longer than an unanswered order lasts. */
const CALM_MS = 6_000;
/** A leader has kept what it was told by then. */
const KEPT_BY_MS = 30;
/** Seeds are named so that a failure can be played again. */
const PLAYED = { seed: 1, numRuns: 150 } as const;

/** An order that its side has not answered yet. */
interface OpenOrder {
  readonly call: StartTaskCall;
  readonly resolve: (result: HostCallResult) => void;
  /** What the worker has said to it; undefined while it has not arrived there. */
  outcome: HostCallResult | undefined;
}

/** A host whose orders arrive, and are answered, when the play says so. */
class SlowHost extends FakeHost {
  /** Highest that the worker has heard; it refuses what bears a lower one. */
  private epoch = 0;
  /** What the worker showed last, while its leader has not been told. */
  private shown: HostReport | undefined;
  private orders: OpenOrder[] = [];
  /** Orders whose answers were given up; the worker may yet carry them out. */
  private readonly silent: OpenOrder[] = [];

  override startTask(call: StartTaskCall): Promise<HostCallResult> {
    this.starts.push(call);
    return new Promise((resolve) => {
      this.orders.push({ call, resolve, outcome: undefined });
    });
  }

  /** The side looks at the worker, and tells the leader later. */
  look(epoch: number): void {
    this.epoch = epoch;
    this.shown = this.report();
  }

  /** What the leader is told: the last look, or one of now. */
  takeShown(epoch: number): HostReport {
    if (!this.shown) this.look(epoch);
    const shown = this.shown as HostReport;
    this.shown = undefined;
    const ended = shown.ended.filter(
      ({ number }) => number > this.acknowledged,
    );
    return { ...shown, ended };
  }

  /** The side reports no look of before it attached, or of a former life. */
  forgetShown(): void {
    this.shown = undefined;
  }

  override replaceWorker(): void {
    super.replaceWorker();
    this.forgetShown();
    this.acknowledged = 0;
    this.epoch = 0;
  }

  /** @param isGivenUp whether its side has given the order up */
  arrive(pick: number, isGivenUp: boolean): void {
    const orders = isGivenUp ? this.silent : this.orders;
    const open = orders.filter(({ outcome }) => outcome === undefined);
    const order = chosen(open, pick);
    if (order) order.outcome = this.carryOut(order.call);
  }

  /** An order is answered: with what the worker has said, if that is known. */
  answerOne(pick: number, isKnown: boolean): void {
    const order = chosen(this.orders, pick);
    if (!order) return;
    this.orders = this.orders.filter((other) => other !== order);
    if (!order.outcome) this.silent.push(order);
    order.resolve(isKnown && order.outcome ? order.outcome : SILENT);
  }

  answerAll(): void {
    while (this.orders.length > 0) {
      this.arrive(0, false);
      this.answerOne(0, true);
    }
  }

  private carryOut(call: StartTaskCall): HostCallResult {
    if (call.instance !== this.instance) return { kind: "replaced" };
    if (call.epoch < this.epoch) return { kind: "refused", reason: "fenced" };
    if (this.draining) return { kind: "draining" };
    if (call.leaseUntil < this.at) return { kind: "refused", reason: "late" };
    this.startLate(call);
    const hasBegun = this.runs.some((run) => runKeyOf(run) === runKeyOf(call));
    return hasBegun
      ? { kind: "ok", at: this.at }
      : { kind: "refused", reason: "old-run" };
  }
}

const SILENT: HostCallResult = { kind: "silent" };

const chosen = <T>(items: readonly T[], pick: number): T | undefined =>
  items[pick % Math.max(1, items.length)];

const pick = fc.nat(20);
const host = fc.nat(HOSTS - 1);

/** What may befall the site in one step of a play. */
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
type StartAfterLook = Extract<Event, { kind: "start-after-look" }>;
type PlainEvent = Exclude<
  Event,
  { kind: "pass" | "change-leader" | "start-after-look" }
>;
type HostEvent = Extract<PlainEvent, { host: number }>;

const stepArbitrary = fc.record({
  event: eventArbitrary,
  /** Milliseconds before the next one, in which nothing is reported. */
  thenMs: fc.integer({ min: 0, max: 30 }),
});
type Step = typeof stepArbitrary extends fc.Arbitrary<infer T> ? T : never;

const TERMS = { maxAttempts: 50 } as const;

class Play {
  /** Second runs, runs of tasks that are done, and runs of cancelled jobs. */
  readonly faults: string[] = [];
  private harness = new EngineHarness({ terms: TERMS });
  private readonly hosts: SlowHost[] = [];
  /** Lives that are over, and of which the leader may be told again. */
  private readonly gone: [SlowHost, WorkerInstance][] = [];
  /** Tasks that the leader was told are done. */
  private readonly done = new Set<JobTaskId>();
  /** A worker whose clock has not gone on has answered nothing new. */
  private readonly reportedAt = new Map<SlowHost, WorkerTime>();
  private readonly jobs: AcceptedJob[] = [];
  private readonly cancelled = new Set<AcceptedJob>();

  async begin(): Promise<void> {
    for (let number = 1; number <= HOSTS; number += 1) {
      const id = `h${number}` as unknown as FakeHost["host"];
      const each = new SlowHost(
        id,
        this.harness.clock,
        undefined,
        16_000,
        ZONE,
      );
      this.hosts.push(each);
      this.harness.engine.attach(each.host, each);
    }
    await this.pass(200);
  }

  async take({ event, thenMs }: Step): Promise<void> {
    if (event.kind === "pass") await this.pass(event.ms);
    else if (event.kind === "change-leader") await this.changeLeader();
    else if (event.kind === "start-after-look")
      await this.startAfterLook(event);
    else this.befall(event);
    await this.harness.clock.advance(thenMs);
    this.look();
  }

  async calmDown(): Promise<void> {
    for (let at = 0; at < CALM_MS; at += 100) {
      for (const each of this.hosts) {
        each.draining = false;
        each.answerAll();
      }
      await this.pass(100);
      this.look();
    }
    this.findUnasked();
  }

  private befall(event: PlainEvent): void {
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
        const told = chosen(this.gone, event.pick);
        if (told) this.tellGone(...told);
        return;
      }
      default:
        this.befallHost(this.hosts[event.host] as SlowHost, event);
    }
  }

  private befallHost(at: SlowHost, event: HostEvent): void {
    switch (event.kind) {
      case "arrive":
        return at.arrive(event.pick, event.isGivenUp);
      case "answer":
        return at.answerOne(event.pick, event.isKnown);
      case "report":
        return this.report(at);
      case "look":
        return at.look(this.harness.epoch);
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
    const job = chosen(this.jobs, pick);
    if (!job) return;
    this.cancelled.add(job);
    this.harness.engine.cancelJob(job.spec.id);
  }

  /** The worker answers a start in the millisecond of the look that is told next. */
  private async startAfterLook({ host, pick }: StartAfterLook): Promise<void> {
    const at = this.hosts[host] as SlowHost;
    at.look(this.harness.epoch);
    at.arrive(pick, false);
    at.answerOne(pick, true);
    await this.harness.clock.advance(0);
    this.report(at);
  }

  private attach(at: SlowHost): void {
    at.forgetShown();
    this.harness.engine.attach(at.host, at);
  }

  /** The next leader reads what the one before has kept, and all hosts attach to it. */
  private async changeLeader(): Promise<void> {
    const former = this.harness;
    const { clock, store, epoch } = former;
    await clock.advance(KEPT_BY_MS);
    former.isLeader = false;
    former.engine.stop();
    const roster = this.hosts.map(({ host }) => host);
    this.harness = new EngineHarness({
      epoch: epoch + 1,
      store,
      roster,
      clock,
      terms: TERMS,
    });
    for (const host of roster) {
      const instance = former.roster.recordedInstance(host);
      if (instance) await this.harness.roster.persist(host, instance);
    }
    const kept = await progressIn(former);
    for (const job of this.jobs) {
      this.harness.engine.addJob(job, kept(job));
      if (this.cancelled.has(job)) this.harness.engine.cancelJob(job.spec.id);
    }
    for (const each of this.hosts) this.attach(each);
  }

  private endRun(pick: number, outcome: "done" | "failed"): void {
    const all = this.hosts.flatMap((at) => at.runs.map((run) => ({ at, run })));
    const found = chosen(all, pick);
    found?.at.end(found.run.task, outcome, found.run.run);
  }

  private replaceWorker(at: SlowHost, isToldFirst: boolean): void {
    const { instance } = at;
    this.gone.push([at, instance]);
    at.draining = false;
    at.replaceWorker();
    at.lostRuns = [];
    if (isToldFirst) this.tellGone(at, instance);
  }

  private tellGone(at: SlowHost, instance: WorkerInstance): void {
    void this.harness.engine.handleWorkerGone(at.host, instance);
  }

  private report(at: SlowHost): void {
    const { engine, epoch } = this.harness;
    const report = at.takeShown(epoch);
    if (this.reportedAt.get(at) === report.at) return;
    this.reportedAt.set(at, report.at);
    const grant = engine.handleReport(at.host, at.zone, report);
    at.acknowledge(at.instance, grant.acknowledged);
    for (const { task, outcome } of report.ended) {
      if (outcome === "done") this.done.add(task);
    }
  }

  /** Lets time pass while all hosts report as usual. */
  private async pass(ms: number): Promise<void> {
    const until = this.harness.clock.monotonic() + ms;
    for (const each of this.hosts) this.report(each);
    while (this.harness.clock.monotonic() < until) {
      await this.harness.clock.advance(50);
      for (const each of this.hosts) this.report(each);
      this.look();
    }
  }

  private look(): void {
    const running = new Set<JobTaskId>();
    for (const { task } of this.hosts.flatMap(({ runs }) => runs)) {
      if (running.has(task)) this.faults.push(`${task} has two runs`);
      if (this.done.has(task)) this.faults.push(`${task} runs, and is done`);
      running.add(task);
    }
  }

  private findUnasked(): void {
    const isCancelled = (task: JobTaskId): boolean =>
      [...this.cancelled].some(({ spec }) => task.startsWith(`${spec.id}.`));
    for (const { task } of this.hosts.flatMap(({ runs }) => runs)) {
      if (isCancelled(task)) this.faults.push(`${task} runs, and is cancelled`);
    }
  }
}

/** What a leader has kept of each job. */
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

test("whatever life an answer, a list or a goodbye speaks of, a task has one run, and none once it is done", async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(stepArbitrary, { minLength: 20, maxLength: 60, size: "max" }),
      async (steps) => {
        const play = new Play();
        await play.begin();
        for (const step of steps) await play.take(step);
        await play.calmDown();
        expect(play.faults).toEqual([]);
      },
    ),
    PLAYED,
  );
});
