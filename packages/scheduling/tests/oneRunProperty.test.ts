/** Tasks under random faults: whichever life a message speaks of, each has one run at a time. */

import { test } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import type { JobTaskId, Monotonic, WorkerInstance } from "@rackspan/common";
import { runKeyOf } from "@rackspan/ports";
import type { HostCallResult, StartTaskCall } from "@rackspan/protocol";
import { EngineHarness, FakeHost, ZONE } from "./engineHarness.js";

const HOSTS = 3;
const TASKS_PER_JOB = 4;
/** Longer than an unanswered order lasts. */
const CALM_MS = 6_000;
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
  private orders: OpenOrder[] = [];
  /** Orders whose answers were given up; the worker may yet carry them out. */
  private readonly silent: OpenOrder[] = [];

  override startTask(call: StartTaskCall): Promise<HostCallResult> {
    this.starts.push(call);
    return new Promise((resolve) => {
      this.orders.push({ call, resolve, outcome: undefined });
    });
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
    if (this.draining) return { kind: "draining" };
    if (call.leaseUntil < this.at) return { kind: "refused", reason: "late" };
    this.beginLate(call);
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
  fc.record({ kind: fc.constant("drain" as const), host }),
  fc.record({ kind: fc.constant("attach" as const), host }),
  fc.record({
    kind: fc.constant("pass" as const),
    ms: fc.integer({ min: 100, max: 900 }),
  }),
);
type Event = typeof eventArbitrary extends fc.Arbitrary<infer T> ? T : never;
type HostEvent = Extract<Event, { host: number }>;

const stepArbitrary = fc.record({
  event: eventArbitrary,
  /** Milliseconds before the next one, in which nothing is reported. */
  thenMs: fc.integer({ min: 0, max: 30 }),
});
type Step = typeof stepArbitrary extends fc.Arbitrary<infer T> ? T : never;

class Play {
  /** Second runs, and runs of tasks that are done. */
  readonly faults: string[] = [];
  private readonly harness = new EngineHarness({ terms: { maxAttempts: 50 } });
  private readonly hosts: SlowHost[] = [];
  /** Lives that are over, and of which the leader may be told again. */
  private readonly gone: [SlowHost, WorkerInstance][] = [];
  /** Tasks that the leader was told are done. */
  private readonly done = new Set<JobTaskId>();
  /** A worker whose clock has not gone on has answered nothing new. */
  private readonly reportedAt = new Map<SlowHost, Monotonic>();
  private jobs = 0;

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
  }

  private befall(event: Exclude<Event, { kind: "pass" }>): void {
    switch (event.kind) {
      case "submit":
        this.jobs += 1;
        this.harness.submit(`j${this.jobs}`, [{ taskCount: TASKS_PER_JOB }]);
        return;
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
      case "drain":
        at.draining = !at.draining;
        return;
      case "attach":
        return this.harness.engine.attach(at.host, at);
      case "replace-worker":
        return this.replaceWorker(at, event.isToldFirst);
    }
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
    void this.harness.engine.noteWorkerGone(at.host, instance);
  }

  private report(at: SlowHost): void {
    const now = this.harness.clock.monotonic();
    if (this.reportedAt.get(at) === now) return;
    this.reportedAt.set(at, now);
    const { ended } = at.report();
    const grant = this.harness.reportOf(at);
    at.acknowledge(at.instance, grant.acknowledged);
    for (const { task, outcome } of ended) {
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
}

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
