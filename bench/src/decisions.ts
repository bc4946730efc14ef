/** Measures the cost of picking an endpoint and of placing a task by the number of workers. */

import {
  brand,
  SeededRandom,
  type AvailabilityZone,
  type HostId,
  type Incarnation,
} from "@rackspan/common";
import { sampleHosts, type HostDirectory, type HostView } from "@rackspan/jobs";
import {
  chooseSubset,
  OutlierEjector,
  endpointPickers,
  type EndpointView,
} from "@rackspan/routing";
import { placers } from "@rackspan/scheduling";
import { jobSchema, jobSpec, jobUnitId, type Unit } from "@rackspan/state";
import { sequence, SystemClock } from "@rackspan/common";
import { registerBenchmark } from "./benchmarks.js";
import { FILLING_SIZES, measureFilling } from "./fillingAssignment.js";
import { printRows, type Row } from "./output.js";

const SIZES = [11, 140, 1_400] as const;
const ROUNDS = 3_000;
const ENTRIES = 6;
const MIN_SUBSET_SIZE = 32;
const TASKS_PER_HOST = 20;

const timeUs = (work: () => void): number => {
  for (let round = 0; round < ROUNDS / 10; round += 1) work();
  const startedAt = performance.now();
  for (let round = 0; round < ROUNDS; round += 1) work();
  return ((performance.now() - startedAt) * 1_000) / ROUNDS;
};

const endpoints = (count: number): EndpointView[] =>
  Array.from({ length: count }, (_, index) => ({
    host: brand<HostId>(`host-${index}`),
    incarnation: brand<Incarnation>("run"),
    address: { host: "127.0.0.1", port: 1 },
    availabilityZone: brand<AvailabilityZone>(`zone-${index % 5}`),
    slots: 8,
    inFlight: index % 5,
    busySlots: index % 7,
    busySlotsReportedAt: 0,
    latencyMs: 3 + (index % 11),
  }));

const hosts = (count: number): HostView[] =>
  endpoints(count).map(
    ({ host, incarnation, availabilityZone }, index) =>
      ({
        host,
        incarnation,
        availabilityZone,
        generation: 1,
        rack: `rack-${Math.floor(index / 3)}`,
        capacity: { processors: 32, memoryMiB: 128_000, accelerators: 1 },
        free: { processors: index % 32, memoryMiB: 64_000, accelerators: 0 },
        ready: true,
        leaving: false,
        placing: [],
        tasks: Array.from({ length: TASKS_PER_HOST }, (_, task) => ({
          unit: `service/s-${task}/${index}`,
          kind: "service",
          state: "running",
        })),
      }) as unknown as HostView,
  );

const unitOf = (kind: "job" | "service"): Unit => {
  const job = jobSchema.parse({
    kind: "job",
    name: "minutes",
    resources: { processors: 2, memoryMiB: 1_024 },
    program: { name: "batch" },
  });
  const id =
    kind === "job" ? jobUnitId("minutes") : ("service/s-1/0" as Unit["id"]);
  return {
    id,
    spec: { ...jobSpec(job), kind },
    specVersion: sequence(1),
    wanted: true,
    phase: "open",
    attempt: 1,
    failures: 0,
  };
};

const measure = (count: number): Row => {
  const random = new SeededRandom(1);
  const all = endpoints(count);
  const subset = chooseSubset({
    members: all,
    nameOf: ({ host }) => host,
    entryIndex: 1,
    entryCount: ENTRIES,
    minSize: MIN_SUBSET_SIZE,
  });
  const ejector = new OutlierEjector({
    clock: new SystemClock(),
    failuresToEject: 5,
    ejectMs: 1,
    maxEjectMs: 1,
    maxEjectedShare: 0.5,
  });
  const picker = endpointPickers.create("pooled", {
    random,
    availabilityZone: brand<AvailabilityZone>("zone-1"),
  });
  const views = hosts(count);
  const byName = new Map(views.map((view) => [view.host, view]));
  const names = [...byName.keys()];
  const directory: HostDirectory = {
    views: () => views,
    names: () => names,
    view: (host) => byName.get(host),
    control: () => undefined,
  };
  const placer = placers.create("spread", { random });
  return {
    workers: count,
    subset: subset.length,
    "pick us, all": timeUs(() =>
      picker.pick(ejector.admit(all.filter(({ slots }) => slots > 0))),
    ),
    "pick us, subset": timeUs(() =>
      picker.pick(ejector.admit(subset.filter(({ slots }) => slots > 0))),
    ),
    "place job us": timeUs(() => placer.rank(unitOf("job"), views)),
    "place replica us": timeUs(() => placer.rank(unitOf("service"), views)),
    "sampled job us": timeUs(() =>
      placer.rank(unitOf("job"), sampleHosts(directory, random)),
    ),
    "sampled replica us": timeUs(() =>
      placer.rank(unitOf("service"), sampleHosts(directory, random)),
    ),
  };
};

const runDecisions = async (): Promise<void> => {
  printRows("decisions: microseconds each", SIZES.map(measure));
  printRows("filling tasks of one cycle", FILLING_SIZES.map(measureFilling));
};

registerBenchmark("decisions", runDecisions);
