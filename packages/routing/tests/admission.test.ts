/** Decisions on admission, and the return of refused callers. */

import { test } from "node:test";
import { expect } from "earl";
import * as fc from "fast-check";
import {
  brand,
  ManualClock,
  Metrics,
  silentLogger,
  type ServiceName,
} from "@rackspan/common";
import {
  AdmissionController,
  decideAdmission,
  densityBucketOf,
  estimateJob,
  retryAfterMs,
  ReturnQueue,
  type AdmissionInputs,
} from "@rackspan/routing";
import { plainJob } from "@rackspan/standins";
import type {
  JobId,
  LoadSummary,
  PriorityLoad,
  StepSpec,
} from "@rackspan/state";

const SERVICE = brand<ServiceName>("kaigi");
/** More utility per core-millisecond than any job of the tests. */
const DENSE = 0;
const NO_ROOM = { freeMilliCores: 0, largestMilliCores: 0 };
const ROOM = { freeMilliCores: 64_000, largestMilliCores: 64_000 };

const loadOf = (overrides: Partial<PriorityLoad> = {}): PriorityLoad => ({
  priority: 2,
  plain: NO_ROOM,
  filling: NO_ROOM,
  pending: [],
  ratePerMs: 1,
  isSaturated: true,
  ...overrides,
});

const summaryOf = (
  priorities: readonly PriorityLoad[],
  runTimeRatio = 1,
): LoadSummary => {
  const { spec } = plainJob({ id: "0", acceptedAt: 0 });
  const queue = { queue: spec.queue, runTimeRatio, meanWork: 1_000 };
  return {
    epoch: 1,
    writtenAt: 0,
    services: [{ service: SERVICE, priorities: [...priorities] }],
    queues: [queue],
  };
};

/** One task of 1 s: objective 2 x 1 s + 250 ms, useful for 6,750 ms. */
const jobOf = (id: string, priority = 2, step: Partial<StepSpec> = {}) =>
  plainJob({ id, acceptedAt: 0, steps: [step], terms: { priority } });

const inputsOf = (
  summary: LoadSummary | undefined,
  overrides: Partial<AdmissionInputs> = {},
): AdmissionInputs => {
  const { spec, terms } = jobOf("0");
  return {
    service: SERVICE,
    priority: 2,
    estimate: estimateJob(spec, terms, summary?.queues[0]),
    waitedMs: 0,
    summary,
    summaryAgeMs: 0,
    maxSummaryAgeMs: 2_000,
    added: [],
    returningWork: () => 0,
    ...overrides,
  };
};

const HOPELESS = summaryOf([loadOf({ pending: [[DENSE, 6_000]] })]);

test("a job is refused only if it would end too late and all conditions hold", () => {
  const outcomes = {
    hopeless: decideAdmission(inputsOf(HOPELESS)),
    "in-time": decideAdmission(
      inputsOf(summaryOf([loadOf({ pending: [[DENSE, 5_700]] })])),
    ),
    "no-summary": decideAdmission(inputsOf(undefined)),
    "old-summary": decideAdmission(inputsOf(HOPELESS, { summaryAgeMs: 2_001 })),
    "unknown-load": decideAdmission(inputsOf(HOPELESS, { priority: 1 })),
    "free-hosts": decideAdmission(
      inputsOf(summaryOf([loadOf({ pending: [[DENSE, 1e9]], plain: ROOM })])),
    ),
    "no-rate": decideAdmission(
      inputsOf(
        summaryOf([loadOf({ pending: [[DENSE, 1e9]], isSaturated: false })]),
      ),
    ),
  };
  for (const [reason, decision] of Object.entries(outcomes)) {
    const outcome = reason === "hopeless" ? "refuse" : "accept";
    expect([decision.reason, decision.outcome]).toEqual([
      reason as typeof decision.reason,
      outcome,
    ]);
  }
  // 6 s of work precede 1 s of its own; 6.75 s are useful.
  expect(outcomes.hopeless.drainMs).toEqual(250);
});

test("a rate of 0 refuses nothing", () => {
  const load = loadOf({ pending: [[DENSE, 1e9]], ratePerMs: 0 });
  expect(decideAdmission(inputsOf(summaryOf([load]))).reason).toEqual(
    "no-rate",
  );
});

// Guards against a wait computed from a trickle of more urgent work alone.
test("a priority without a rate of its own refuses nothing, whatever the rate of more urgent work", () => {
  const urgent = loadOf({ priority: 0, ratePerMs: 0.01 });
  const bulk = loadOf({ pending: [[DENSE, 1e9]], ratePerMs: 0 });
  expect(decideAdmission(inputsOf(summaryOf([urgent, bulk]))).reason).toEqual(
    "no-rate",
  );
});

test("work that was done since the summary was written does not precede the job", () => {
  const decision = decideAdmission(inputsOf(HOPELESS, { summaryAgeMs: 1_000 }));
  expect(decision.reason).toEqual("in-time");
});

test("work accepted since the summary precedes the job if it has more utility per core-millisecond", () => {
  const empty = summaryOf([loadOf()]);
  const added = { service: SERVICE, priority: 2, bucket: DENSE, work: 6_000 };
  const decide = (overrides: Partial<typeof added>) =>
    decideAdmission(inputsOf(empty, { added: [{ ...added, ...overrides }] }))
      .outcome;
  expect(decide({})).toEqual("refuse");
  expect(decide({ priority: 1, bucket: -500 })).toEqual("refuse");
  expect(decide({ priority: 3 })).toEqual("accept");
  expect(decide({ bucket: -500 })).toEqual("accept");
  expect(decide({ service: brand<ServiceName>("other") })).toEqual("accept");
});

test("a job that can only be late has less utility left, so that more work precedes it", () => {
  const { bucket, lateBucket } = inputsOf(HOPELESS).estimate;
  const between = Math.round((bucket + lateBucket) / 2);
  expect(lateBucket < between && between < bucket).toEqual(true);
  const loads = (ahead: number) =>
    summaryOf([
      loadOf({
        pending: [
          [DENSE, ahead],
          [between, 100_000],
        ],
      }),
    ]);
  expect(decideAdmission(inputsOf(loads(1_000))).outcome).toEqual("accept");
  expect(decideAdmission(inputsOf(loads(1_500))).outcome).toEqual("refuse");
});

test("declared run times are corrected by those seen in the queue", () => {
  const { spec, terms } = jobOf("0");
  const [load] = summaryOf([], 1.7).queues;
  expect(estimateJob(spec, terms, load).chainMs).toEqual(1_700);
  expect(estimateJob(spec, terms, undefined).chainMs).toEqual(1_000);
});

test("the chain of a job is its longest path of steps", () => {
  const steps: Partial<StepSpec>[] = [
    { estimateMs: 100 },
    { estimateMs: 700 },
    { estimateMs: 50, after: [0, 1] },
  ];
  const { spec, terms } = plainJob({ id: "0", acceptedAt: 0, steps });
  expect(estimateJob(spec, terms, undefined).chainMs).toEqual(750);
});

const loads = fc.record({
  largest: fc.integer({ min: 0, max: 64_000 }),
  work: fc.integer({ min: 0, max: 10_000_000 }),
  bucket: fc.integer({ min: -60, max: 5 }),
  rate: fc.float({ min: 0, max: 100, noNaN: true }),
  isSaturated: fc.boolean(),
});

test("no load of less urgent work, whatever it is, refuses a more urgent job", () => {
  fc.assert(
    fc.property(loads, loads, (urgent, bulk) => {
      const toLoad = (priority: number, each: typeof urgent): PriorityLoad => ({
        priority,
        plain: { freeMilliCores: 0, largestMilliCores: each.largest },
        filling: { freeMilliCores: 0, largestMilliCores: each.largest },
        pending: [[each.bucket, each.work]],
        ratePerMs: each.rate,
        isSaturated: each.isSaturated,
      });
      const alone = summaryOf([toLoad(0, urgent)]);
      const both = summaryOf([toLoad(0, urgent), toLoad(2, bulk)]);
      const added = [
        { service: SERVICE, priority: 2, bucket: DENSE, work: bulk.work },
      ];
      const decide = (summary: LoadSummary, more = {}) =>
        decideAdmission(inputsOf(summary, { priority: 0, ...more })).outcome;
      expect(decide(both, { added })).toEqual(decide(alone));
    }),
  );
});

test("no job is refused while a host can hold one of its first tasks", () => {
  fc.assert(
    fc.property(loads, (load) => {
      const room = { freeMilliCores: 0, largestMilliCores: load.largest };
      const summary = summaryOf([
        loadOf({ pending: [[load.bucket, load.work]], plain: room }),
      ]);
      const { outcome } = decideAdmission(inputsOf(summary));
      if (load.largest >= 1_000) expect(outcome).toEqual("accept");
    }),
  );
});

// Guards against looking only at the first step with the smallest demand.
test("a job is accepted if a host can hold a task of any of its first steps", () => {
  const demandOf = (milliCores: number) => ({
    demand: { milliCores, memoryMiB: 10, accelerators: 0 },
  });
  const small = demandOf(500);
  const large = { ...demandOf(2_000), filling: true };
  const pending: PriorityLoad["pending"] = [[DENSE, 1e9]];
  const outcomeOf = (
    steps: readonly Partial<StepSpec>[],
    load: Partial<PriorityLoad>,
  ) => {
    const { spec, terms } = plainJob({ id: "0", acceptedAt: 0, steps });
    const estimate = estimateJob(spec, terms, undefined);
    const summary = summaryOf([loadOf({ pending, ...load })]);
    return decideAdmission(inputsOf(summary, { estimate })).outcome;
  };
  for (const steps of [
    [small, large],
    [large, small],
  ]) {
    expect(outcomeOf(steps, { filling: ROOM })).toEqual("accept");
    expect(outcomeOf(steps, { plain: ROOM })).toEqual("accept");
    expect(outcomeOf(steps, {})).toEqual("refuse");
  }
  const later = { ...large, after: [0] };
  expect(outcomeOf([small, later], { filling: ROOM })).toEqual("refuse");
});

test("a higher density is never in a lower bucket", () => {
  const density = fc.double({ min: 0, max: 1, noNaN: true });
  fc.assert(
    fc.property(density, density, (a, b) => {
      const [low, high] = a < b ? [a, b] : [b, a];
      expect(densityBucketOf(low) <= densityBucketOf(high)).toEqual(true);
    }),
  );
});

test("Retry-After is in whole seconds, rounded up, but not beyond the last useful moment", () => {
  const after = (drainMs: number, usefulForMs: number) =>
    retryAfterMs({ drainMs, usefulForMs });
  expect(after(1_200, 10_000)).toEqual(2_000);
  expect(after(9_000, 5_700)).toEqual(5_000);
  expect(after(9_000, -2_000)).toEqual(1_000);
});

const refusedJob = (id: string, work = 1_000) => ({
  id: brand<JobId>(id),
  service: SERVICE,
  priority: 2,
  work,
});

test("jobs that may return precede new ones and those that arrived later", () => {
  const queue = new ReturnQueue();
  queue.add(refusedJob("a"), 0, 3_000);
  queue.add(refusedJob("b"), 100, 4_000);
  const before = (id: string) => queue.workBefore(refusedJob(id), 1_000);
  expect(["a", "b", "new"].map(before)).toEqual([0, 1_000, 2_000]);
  // A second refusal does not change the order.
  queue.add(refusedJob("a"), 1_000, 5_000);
  expect(["a", "b", "new"].map(before)).toEqual([0, 1_000, 2_000]);
  queue.remove(brand<JobId>("a"));
  expect(["b", "new"].map(before)).toEqual([0, 1_000]);
});

// Guards against jobs of one millisecond that each wait for all the others.
test("jobs that arrive at the same time do not precede each other", () => {
  const queue = new ReturnQueue();
  for (const id of ["a", "b", "c"]) queue.add(refusedJob(id), 0, 3_000);
  const before = (id: string) => queue.workBefore(refusedJob(id), 1_000);
  expect(["a", "b", "c", "new"].map(before)).toEqual([0, 1_000, 2_000, 3_000]);
});

// Guards against a decision that iterates over all refused jobs as objects.
test("with 10,000 refused jobs the preceding work is known within 0.1 ms", () => {
  const queue = new ReturnQueue();
  for (let n = 0; n < 10_050; n += 1)
    queue.add(refusedJob(`${n}`), n / 1_000, 60_000);
  const times: number[] = [];
  for (let n = 0; n < 1_000; n += 1) {
    const startedAt = performance.now();
    expect(queue.workBefore(refusedJob("new"), 20)).toEqual(10_000_000);
    times.push(performance.now() - startedAt);
  }
  // The median is not affected by other processes on the machine.
  const median = times.sort((a, b) => a - b)[500] ?? Infinity;
  expect(median < 0.1).toEqual(true);
});

test("the order of refused jobs is not read unless capacity is lacking", () => {
  const returningWork = (): number => {
    throw new Error("not needed");
  };
  const summaries = [
    undefined,
    summaryOf([loadOf({ plain: ROOM })]),
    summaryOf([loadOf({ isSaturated: false })]),
    summaryOf([loadOf({ ratePerMs: 0 })]),
  ];
  for (const summary of summaries) {
    const { outcome } = decideAdmission(inputsOf(summary, { returningWork }));
    expect(outcome).toEqual("accept");
  }
});

test("the work of a caller that does not return in its time no longer counts", () => {
  const queue = new ReturnQueue();
  queue.add(refusedJob("gone"), 0, 3_000);
  expect(queue.workBefore(refusedJob("new"), 5_000)).toEqual(1_000);
  expect(queue.workBefore(refusedJob("new"), 5_001)).toEqual(0);
  // Its first arrival is remembered for longer.
  expect(queue.firstArrivalOf(brand<JobId>("gone"), 60_000)).toEqual(0);
  expect(queue.firstArrivalOf(brand<JobId>("gone"), 60_001)).toEqual(undefined);
});

test("at most 10,000 refused ids are remembered, the newest ones", () => {
  const queue = new ReturnQueue();
  for (let n = 0; n < 10_050; n += 1)
    queue.add(refusedJob(`${n}`), n / 1_000, 60_000);
  expect(queue.size).toEqual(10_000);
  expect(queue.firstArrivalOf(brand<JobId>("49"), 20)).toEqual(undefined);
  expect(queue.firstArrivalOf(brand<JobId>("50"), 20)).toEqual(0.05);
});

const createController = (summary: LoadSummary = HOPELESS) => {
  const clock = new ManualClock();
  const metrics = new Metrics();
  const state = { ageMs: 0 };
  const controller = new AdmissionController({
    refusesHopeless: true,
    maxSummaryAgeMs: 2_000,
    summaries: {
      get current() {
        return { summary, ageMs: state.ageMs };
      },
    },
    clock,
    logger: silentLogger,
    metrics,
  });
  const admit = (id: string) => {
    const { spec, terms } = jobOf(id);
    return controller.admit(spec, terms)?.retryAfterMs;
  };
  return { clock, metrics, controller, state, admit };
};

test("callers that are refused together get successive times in the order of their arrival", () => {
  const pending: PriorityLoad["pending"] = [[DENSE, 6_000]];
  const { admit } = createController(summaryOf([loadOf({ pending })]));
  // Each job takes one second of the rate; 5.75 s after its arrival a job is of no use.
  const times = ["a", "b", "c", "d", "e", "f", "g"].map(admit);
  expect(times).toEqual([1_000, 2_000, 3_000, 4_000, 5_000, 5_000, 5_000]);
});

test("a returning job counts as new at an entry that has been restarted", async () => {
  // Until its last useful start, 5,750 ms after its arrival, it stays hopeless.
  const pending: PriorityLoad["pending"] = [[DENSE, 12_000]];
  const summary = summaryOf([loadOf({ pending })]);
  const before = createController(summary);
  expect(before.admit("a")).toEqual(5_000);
  await before.clock.advance(4_000);
  expect(before.admit("a")).toEqual(1_000);
  const restarted = createController(summary);
  await restarted.clock.advance(4_000);
  expect(restarted.admit("a")).toEqual(5_000);
});

test("when the summary is too old because the leader is lost, everything is accepted", async () => {
  const { admit, state, metrics } = createController();
  expect(admit("a") !== undefined).toEqual(true);
  state.ageMs = 2_001;
  expect(admit("a")).toEqual(undefined);
  expect(admit("b")).toEqual(undefined);
  const counted = await metrics.values("admission_decisions");
  expect(counted.map(({ labels, value }) => [labels["reason"], value])).toEqual(
    [
      ["hopeless", 1],
      ["old-summary", 2],
    ],
  );
});

// Guards against a list that grows for as long as no leader publishes summaries.
test("accepted work is not added up while the summary is too old", () => {
  const { admit, controller, state } = createController(summaryOf([loadOf()]));
  const accept = (count: number): void => {
    for (let n = 0; n < count; n += 1)
      controller.handleAccepted(jobOf(`accepted-${n}`, 1));
  };
  state.ageMs = 2_001;
  accept(100);
  state.ageMs = 0;
  expect(admit("a")).toEqual(undefined);
  accept(100);
  expect(admit("b") !== undefined).toEqual(true);
});

// Guards against equal return times, and against a refusal of an accepted job.
test("a refusal counts from its decision, and takes effect when it is confirmed", async () => {
  const { controller, admit, metrics } = createController();
  const propose = (id: string) => {
    const { spec, terms } = jobOf(id);
    return controller.propose(spec, terms);
  };
  const [a, b, c] = ["a", "b", "c"].map(propose);
  expect(await metrics.total("admission_decisions")).toEqual(0);
  expect(a?.confirm()?.retryAfterMs).toEqual(1_000);
  expect(b?.confirm()?.retryAfterMs).toEqual(2_000);
  // Another request of the same job has begun to write its record.
  expect(c?.withdraw("may-be-accepted")).toEqual(undefined);
  propose("d")?.withdraw("known");
  // Neither c nor d precedes the next one.
  expect(admit("e")).toEqual(3_000);
});

test("jobs that follow a permit rule, repeat or have lasting steps are not refused", () => {
  const { controller } = createController();
  const terms = { priority: 2 };
  const permitRule = { decideMs: 1, eachMs: 1, validMs: 1 };
  const repeat = { count: 2, firstAt: 0, intervalMs: 1 };
  const jobs = [
    plainJob({ id: "a", acceptedAt: 0, terms: { ...terms, permitRule } }),
    plainJob({ id: "b", acceptedAt: 0, terms, repeat }),
    plainJob({ id: "c", acceptedAt: 0, terms, steps: [{ lasting: true }] }),
  ];
  for (const job of jobs)
    expect(controller.admit(job.spec, job.terms)).toEqual(undefined);
});
