/** Compares the pickers, with ejector and retry budget, on fake endpoints. */

import {
  LatencyRecorder,
  SeededRandom,
  type AvailabilityZone,
  type Clock,
  type Random,
} from "@rackspan/common";
import {
  OutlierEjector,
  endpointPickers,
  RetryBudget,
  type EndpointPicker,
} from "@rackspan/routing";
import { registerBenchmark } from "./benchmarks.js";
import {
  EventQueue,
  FakeEndpoint,
  FakeView,
  type FakeOutcome,
} from "./fakeEndpoints.js";
import { median, printRows, type Row } from "./output.js";

const SEEDS = 20;
const HOSTS = 11;
const ENTRIES = 2;
const RUN_MS = 8_000;
const MEAN_MS = 4;
const SLOTS = 8;
const TARGET_MS = 40;
const FAULT_FROM_MS = 2_000;
const FAULT_TO_MS = 7_500;
const MAX_ATTEMPTS = 3;
const STATUS_EVERY_MS = 5_000;
const ZONES = [
  "quay-hall",
  "gonville-hall",
  "cliff-hall",
] as unknown as readonly AvailabilityZone[];
const ZONE_DELAY_MS = 1.5;

interface Scenario {
  readonly name: string;
  /** Offered load as a share of the capacity of all slots. */
  readonly load: number;
  readonly begin: (endpoints: readonly FakeEndpoint[], random: Random) => void;
  readonly end: (endpoints: readonly FakeEndpoint[]) => void;
}

const clearFaults = (endpoints: readonly FakeEndpoint[]): void => {
  for (const endpoint of endpoints) {
    endpoint.slowdown = 1;
    endpoint.failing = false;
  }
};

const SCENARIOS: readonly Scenario[] = [
  { name: "steady, 60%", load: 0.6, begin: () => undefined, end: clearFaults },
  {
    name: "noisy tasks on 3 hosts, 50%",
    load: 0.5,
    begin: (endpoints) =>
      endpoints.slice(0, 3).forEach((endpoint) => (endpoint.slowdown = 5)),
    end: clearFaults,
  },
  {
    name: "slow zone, 50%",
    load: 0.5,
    begin: (endpoints) =>
      endpoints
        .filter(({ options }) => options.zone === ZONES[0])
        .forEach((endpoint) => (endpoint.slowdown = 3)),
    end: clearFaults,
  },
  {
    name: "one worker fails everything, 50%",
    load: 0.5,
    begin: (endpoints) => {
      const [first] = endpoints;
      if (first) first.failing = true;
    },
    end: clearFaults,
  },
  {
    name: "everything fails, 50%",
    load: 0.5,
    begin: (endpoints) =>
      endpoints.forEach((endpoint) => (endpoint.failing = true)),
    end: clearFaults,
  },
  {
    name: "twice the capacity",
    load: 2,
    begin: () => undefined,
    end: clearFaults,
  },
];

interface Result {
  readonly p50: number;
  readonly p99: number;
  readonly p999: number;
  readonly overTarget: number;
  readonly goodput: number;
  readonly retryShare: number;
  /** Share of attempts sent to the first host, from 5 s after the fault started until it ends. */
  readonly firstHostShare: number;
  readonly pickUs: number;
}

/** A simulated entry: picker, ejector and retry budget as in the attempt loop. */
class FakeEntry {
  readonly views: readonly FakeView[];
  readonly picker: EndpointPicker;
  readonly ejector: OutlierEjector;
  readonly budget = new RetryBudget({ ratio: 0.1, burst: 20 });
  readonly zone: AvailabilityZone;

  constructor(
    index: number,
    picker: string,
    endpoints: readonly FakeEndpoint[],
    random: Random,
    clock: Clock,
  ) {
    this.zone = ZONES[index % ZONES.length] as AvailabilityZone;
    this.views = endpoints.map((endpoint) => new FakeView(endpoint));
    this.picker = endpointPickers.create(picker, {
      random,
      availabilityZone: this.zone,
    });
    this.ejector = new OutlierEjector({
      clock,
      failuresToEject: 5,
      ejectMs: 2_000,
      maxEjectMs: 60_000,
      maxEjectedShare: 0.5,
    });
  }
}

const runOnce = (picker: string, scenario: Scenario, seed: number): Result => {
  const random = new SeededRandom(seed);
  const events = new EventQueue();
  const clock = {
    monotonic: () => events.now,
    leaseTime: () => events.now,
    now: () => events.now,
    after: () => ({ cancel: () => undefined }),
  };
  const endpoints = Array.from({ length: HOSTS }, (_, index) => {
    const zone = ZONES[index % ZONES.length] as AvailabilityZone;
    return new FakeEndpoint(events, {
      index,
      zone,
      slots: SLOTS,
      maxQueued: 16,
      meanMs: MEAN_MS,
      random,
    });
  });
  const entries = Array.from(
    { length: ENTRIES },
    (_, index) => new FakeEntry(index, picker, endpoints, random, clock),
  );
  const latency = new LatencyRecorder();
  const count = {
    sent: 0,
    good: 0,
    over: 0,
    retries: 0,
    late: 0,
    lateFirst: 0,
    picks: 0,
    pickMs: 0,
  };

  const attempt = (
    entry: FakeEntry,
    startedAt: number,
    tried: ReadonlySet<FakeView>,
    number: number,
  ): void => {
    const candidates = entry.views.filter((view) => !tried.has(view));
    const before = performance.now();
    const view = entry.picker.pick(entry.ejector.admit(candidates)) as FakeView;
    count.pickMs += performance.now() - before;
    count.picks += 1;
    if (events.now > FAULT_FROM_MS + 5_000 && events.now < FAULT_TO_MS) {
      count.late += 1;
      if (view.endpoint === endpoints[0]) count.lateFirst += 1;
    }
    const sentAt = events.now;
    const tripMs = view.availabilityZone === entry.zone ? 0.1 : ZONE_DELAY_MS;
    view.inFlight += 1;
    const answered = (outcome: FakeOutcome): void => {
      view.inFlight -= 1;
      view.busySlots = view.endpoint.busySlots;
      view.busySlotsReportedAt = events.now;
      const latencyMs = events.now - sentAt;
      if (outcome !== "refused") {
        entry.ejector.report({
          host: view.host,
          ok: outcome === "ok",
          latencyMs,
          at: events.now,
        });
      }
      if (outcome === "ok") {
        view.latencyMs +=
          (view.latencyMs === 0 ? 1 : 0.1) * (latencyMs - view.latencyMs);
        const total = events.now - startedAt;
        latency.record(total);
        count.good += 1;
        if (total > TARGET_MS) count.over += 1;
        return;
      }
      if (number >= MAX_ATTEMPTS || !entry.budget.tryWithdraw()) {
        count.over += 1;
        return;
      }
      count.retries += 1;
      attempt(entry, startedAt, new Set([...tried, view]), number + 1);
    };
    events.at(events.now + tripMs, () =>
      view.endpoint.request((outcome) =>
        events.at(events.now + tripMs, () => answered(outcome)),
      ),
    );
  };

  const perMs = (scenario.load * HOSTS * SLOTS) / MEAN_MS;
  const arrive = (): void => {
    const entry = entries[count.sent % ENTRIES] as FakeEntry;
    count.sent += 1;
    entry.budget.deposit();
    attempt(entry, events.now, new Set(), 1);
    events.at(events.now - Math.log(1 - random.next()) / perMs, arrive);
  };
  events.at(0, arrive);
  events.at(FAULT_FROM_MS, () => scenario.begin(endpoints, random));
  events.at(FAULT_TO_MS, () => scenario.end(endpoints));
  for (let at = STATUS_EVERY_MS; at < RUN_MS; at += STATUS_EVERY_MS) {
    events.at(at, () =>
      entries.forEach(({ views }) =>
        views.forEach((view) => (view.busySlots = view.endpoint.busySlots)),
      ),
    );
  }
  events.runUntil(RUN_MS);
  const capacity = (HOSTS * SLOTS * RUN_MS) / MEAN_MS;
  return {
    p50: latency.quantile(0.5),
    p99: latency.quantile(0.99),
    p999: latency.quantile(0.999),
    overTarget: count.over / count.sent,
    goodput: count.good / Math.min(count.sent, capacity),
    retryShare: count.retries / count.sent,
    firstHostShare: count.lateFirst / Math.max(1, count.late),
    pickUs: (count.pickMs * 1_000) / count.picks,
  };
};

const summarize = (
  picker: string,
  results: readonly Result[],
  baseline: readonly Result[],
): Row => {
  const medianOf = (read: (result: Result) => number): number =>
    median(results.map(read));
  const ratios = results.map(
    ({ p99 }, seed) => p99 / (baseline[seed]?.p99 ?? p99),
  );
  const sorted = [...ratios].sort((a, b) => a - b);
  return {
    picker,
    "p50 ms": medianOf(({ p50 }) => p50),
    "p99 ms": medianOf(({ p99 }) => p99),
    "p99.9 ms": medianOf(({ p999 }) => p999),
    "over 40 ms %": 100 * medianOf(({ overTarget }) => overTarget),
    "goodput %": 100 * medianOf(({ goodput }) => goodput),
    "retries %": 100 * medianOf(({ retryShare }) => retryShare),
    "host-0 %": 100 * medianOf(({ firstHostShare }) => firstHostShare),
    "p99 / of two": median(ratios),
    spread: `${(sorted[0] ?? 0).toFixed(2)}..${(sorted.at(-1) ?? 0).toFixed(2)}`,
    "us/pick": medianOf(({ pickUs }) => pickUs),
  };
};

const runRouting = async (): Promise<void> => {
  const seeds = Array.from({ length: SEEDS }, (_, index) => index + 1);
  for (const scenario of SCENARIOS) {
    const baseline = seeds.map((seed) =>
      runOnce("leastLoadedOfTwo", scenario, seed),
    );
    const rows = endpointPickers
      .names()
      .map((picker) =>
        summarize(
          picker,
          picker === "leastLoadedOfTwo"
            ? baseline
            : seeds.map((seed) => runOnce(picker, scenario, seed)),
          baseline,
        ),
      );
    printRows(`routing: ${scenario.name}; ${SEEDS} seeds, medians`, rows);
  }
};

registerBenchmark("routing", runRouting);
