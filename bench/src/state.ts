/** Measures the cost of the fold, snapshots and restores by the number of live jobs. */

import {
  brand,
  hostId,
  type HostGeneration,
  type Incarnation,
  type ReservationId,
} from "@rackspan/common";
import {
  decodeBatch,
  encodeBatch,
  Fold,
  jobSchema,
  jobUnitId,
  encodeSnapshot,
  decodeSnapshot,
  type LogRecord,
} from "@rackspan/state";
import { offset } from "@rackspan/common";
import { registerBenchmark } from "./benchmarks.js";
import { median, printRows, slopeOf, type Row } from "./output.js";

const SIZES = [1_000, 10_000, 30_000] as const;
const REPEATS = 3;
const BATCH = 64;
const HOSTS = 1_400;

const submitOf = (index: number): LogRecord => ({
  type: "submit",
  job: jobSchema.parse({
    kind: "job",
    name: `minutes-${index}`,
    team: `team-${index % 140}`,
    resources: { processors: 2, memoryMiB: 2_048 },
    program: { name: "batch", args: { meeting: `m-${index}` } },
  }),
});

const claimOf = (index: number): LogRecord => ({
  type: "claim",
  unit: jobUnitId(`minutes-${index}`),
  attempt: 1,
  host: hostId(`host-${index % HOSTS}`),
  generation: brand<HostGeneration>(1),
  reservation: brand<ReservationId>("0b1e9a52-6a1c-4b07-9d5f-0d2c2f6f0a11"),
});

const endedOf = (index: number): LogRecord => ({
  type: "ended",
  unit: jobUnitId(`minutes-${index}`),
  attempt: 1,
  host: hostId(`host-${index % HOSTS}`),
  end: "succeeded",
});

const encodeAll = (records: readonly LogRecord[]): Buffer[] => {
  const writer = brand<Incarnation>("6f9619ff-8b86-d011-b42d-00cf4fc964ff");
  const batches: Buffer[] = [];
  for (let first = 0; first < records.length; first += BATCH) {
    batches.push(
      encodeBatch({
        writer,
        first,
        records: records.slice(first, first + BATCH),
      }),
    );
  }
  return batches;
};

const timed = <T>(
  work: () => T,
): { readonly ms: number; readonly value: T } => {
  const startedAt = performance.now();
  const value = work();
  return { ms: performance.now() - startedAt, value };
};

const heapMiB = (): number => {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed / 1_048_576;
};

const readAll = (batches: readonly Buffer[]): Fold => {
  const fold = new Fold();
  for (const data of batches) fold.applyBatch(decodeBatch(data));
  return fold;
};

const measureSize = (live: number): Row => {
  const indexes = Array.from({ length: live }, (_, index) => index);
  const records = [...indexes.map(submitOf), ...indexes.map(claimOf)];
  const batches = encodeAll(records);
  const bytes = batches.reduce((sum, { length }) => sum + length, 0);
  const before = heapMiB();
  const reads = Array.from({ length: REPEATS }, () =>
    timed(() => readAll(batches)),
  );
  const fold = (reads[0] as (typeof reads)[0]).value;
  const state = readAll(batches);
  reads.length = 1;
  const after = heapMiB();
  const packs = Array.from({ length: REPEATS }, () =>
    timed(() =>
      encodeSnapshot({
        covered: offset(batches.length),
        state: fold.toSnapshot(),
      }),
    ),
  );
  const packed = (packs[0] as (typeof packs)[0]).value;
  const restores = Array.from({ length: REPEATS }, () =>
    timed(() => new Fold().restore(decodeSnapshot(packed).state)),
  );
  const ends = timed(() =>
    indexes.forEach((index) => fold.apply(endedOf(index))),
  );
  return {
    "live jobs": live,
    "us/record read":
      (median(reads.map(({ ms }) => ms)) * 1_000) / records.length,
    "bytes/record": bytes / records.length,
    "KiB heap/job":
      ((after - before) * 1_024) / (2 * state.units.unfinishedCount),
    "snapshot KiB": packed.length / 1_024,
    "snapshot ms": median(packs.map(({ ms }) => ms)),
    "restore ms": median(restores.map(({ ms }) => ms)),
    "us/ended": (ends.ms * 1_000) / live,
  };
};

const runState = async (): Promise<void> => {
  const rows = SIZES.map(measureSize);
  printRows(
    "state: the fold against live jobs (a submit and a claim each)",
    rows,
  );
  const slope = (name: string): number =>
    slopeOf(
      rows.map((row) => ({
        x: Number(row["live jobs"]),
        y: Number(row[name]),
      })),
    );
  printRows("state: slopes a live job", [
    {
      "snapshot bytes": slope("snapshot KiB") * 1_024,
      "snapshot us": slope("snapshot ms") * 1_000,
      "restore us": slope("restore ms") * 1_000,
    },
  ]);
};

registerBenchmark("state", runState);
