/** Property test under random faults: runs of cancelled jobs end whatever was lost. */

import { test } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import type { JobId } from "@rackspan/state";
import { EngineHarness, type FakeHost } from "./engineHarness.js";

/** Time within which the users require a task of a cancelled job to be gone, milliseconds. */
const GONE_BY_MS = 3_200;
const HOSTS = 3;
/** The seed is fixed so that a failure can be reproduced. */
const PROPERTY_OPTIONS = { seed: 1, numRuns: 120 } as const;

const hostIndex = fc.nat(HOSTS - 1);

/** Events that may happen in one step of the simulation. */
const eventArbitrary = fc.oneof(
  fc.record({ kind: fc.constant("submit"), lasting: fc.boolean() }),
  fc.record({ kind: fc.constant("cancel"), job: fc.nat(20) }),
  fc.record({
    kind: fc.constant("answers"),
    host: hostIndex,
    answers: fc.constantFrom("ok", "silent", "refused", "hang"),
    carriesOut: fc.boolean(),
  }),
  fc.record({ kind: fc.constant("begin-late"), host: hostIndex }),
  fc.record({ kind: fc.constant("detach"), host: hostIndex }),
  fc.record({ kind: fc.constant("attach"), host: hostIndex }),
  fc.record({ kind: fc.constant("replace-worker"), host: hostIndex }),
  fc.record({ kind: fc.constant("drain"), host: hostIndex }),
  fc.record({ kind: fc.constant("change-leader") }),
  fc.record({
    kind: fc.constant("wait"),
    ms: fc.integer({ min: 10, max: 900 }),
  }),
);
type Event = typeof eventArbitrary extends fc.Arbitrary<infer T> ? T : never;

/** A site whose leaders and hosts change; jobs and cancels are persisted. */
class Simulation {
  private harness = new EngineHarness();
  private readonly hosts: FakeHost[] = [];
  private readonly attached = new Set<FakeHost>();
  private readonly jobs: { readonly id: string; readonly lasting: boolean }[] =
    [];
  private readonly cancelled = new Set<string>();
  private epoch = 1;

  async start(): Promise<void> {
    for (let number = 1; number <= HOSTS; number += 1) {
      const host = await this.harness.addHost(`h${number}`);
      host.refusal = "unhealthy";
      this.hosts.push(host);
      this.attached.add(host);
    }
  }

  async apply(event: Event): Promise<void> {
    switch (event.kind) {
      case "submit":
        this.submit(event.lasting);
        break;
      case "cancel":
        this.cancel(event.job);
        break;
      case "wait":
        await this.advance(event.ms);
        return;
      case "change-leader":
        this.changeLeader();
        break;
      default:
        this.applyHostEvent(this.hosts[event.host] as FakeHost, event);
    }
    await this.advance(20);
  }

  /** Ends all faults and waits for as long as the users allow. */
  async recover(): Promise<void> {
    for (const host of this.hosts) {
      host.answers = "ok";
      host.stopsAtOnce = true;
      this.attach(host);
    }
    await this.advance(GONE_BY_MS);
  }

  /** Runs of cancelled jobs that have not ended. */
  get cancelledRuns(): string[] {
    return this.hosts.flatMap(({ runs }) =>
      runs
        .filter(({ task }) => this.cancelled.has(task.split(".", 1)[0] ?? ""))
        .map(({ task, run }) => `${task}#${run}`),
    );
  }

  private applyHostEvent(host: FakeHost, event: Event): void {
    switch (event.kind) {
      case "answers":
        host.answers = event.answers as FakeHost["answers"];
        host.stopsAtOnce = event.answers === "ok" || event.carriesOut;
        return;
      case "begin-late":
        startLate(host);
        return;
      case "attach":
        this.attach(host);
        return;
      case "detach":
        this.attached.delete(host);
        this.harness.engine.detach(host.host, host);
        return;
      case "replace-worker":
        host.replaceWorker();
        return;
      case "drain":
        host.draining = !host.draining;
        return;
      default:
        throw new Error(`${event.kind} is not a host event`);
    }
  }

  private attach(host: FakeHost): void {
    this.attached.add(host);
    this.harness.engine.attach(host.host, host);
    this.harness.reportOf(host);
  }

  private submit(lasting: boolean): void {
    const id = `j${this.jobs.length}`;
    this.jobs.push({ id, lasting });
    this.harness.submit(id, [{ taskCount: 2, lasting }]);
  }

  private cancel(index: number): void {
    const job = this.jobs[index % Math.max(1, this.jobs.length)];
    if (!job) return;
    this.cancelled.add(job.id);
    this.harness.engine.cancelJob(job.id as unknown as JobId);
  }

  /** The next leader reads all jobs and cancels, and all attached hosts attach to it. */
  private changeLeader(): void {
    const { clock } = this.harness;
    this.harness.isLeader = false;
    this.harness.engine.stop();
    this.epoch += 1;
    const roster = this.hosts.map(({ host }) => host);
    this.harness = new EngineHarness({ epoch: this.epoch, roster, clock });
    for (const { id, lasting } of this.jobs) {
      const job = this.harness.submit(id, [{ taskCount: 2, lasting }]);
      if (this.cancelled.has(id)) this.harness.engine.cancelJob(job.spec.id);
    }
    for (const host of this.attached) {
      this.harness.engine.attach(host.host, host);
    }
  }

  private advance(ms: number): Promise<void> {
    return this.harness.run(ms, [...this.attached]);
  }
}

/** The worker executes the unexpired start orders that it has not answered. */
const startLate = (host: FakeHost): void => {
  for (const start of host.starts) {
    if (start.instance !== host.instance || start.leaseUntil < host.at)
      continue;
    host.startLate(start);
  }
};

test("whatever is lost or delayed, runs of cancelled jobs end once all faults are over", async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(eventArbitrary, { minLength: 5, maxLength: 40 }),
      async (events) => {
        const simulation = new Simulation();
        await simulation.start();
        for (const event of events) await simulation.apply(event);
        await simulation.recover();
        expect(simulation.cancelledRuns).toEqual([]);
      },
    ),
    PROPERTY_OPTIONS,
  );
});
