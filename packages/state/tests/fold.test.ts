import { test } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import {
  brand,
  hostId,
  sequence,
  unitId,
  type HostGeneration,
  type Incarnation,
  type RequestId,
  type ReservationId,
  type ServiceName,
} from "@rackspan/common";
import {
  decodeBatch,
  declarationSchema,
  encodeBatch,
  Fold,
  UnreadableEntryError,
  type Declaration,
  type LogRecord,
} from "@rackspan/state";

const HOST = hostId("host-1");
const GENERATION = brand<HostGeneration>(1);
const WRITER = brand<Incarnation>("writer-1");

const job = (
  name: string,
  extra: object = {},
): Declaration & { kind: "job" } => {
  const declaration = declarationSchema.parse({
    kind: "job",
    name,
    resources: { processors: 1, memoryMiB: 64 },
    program: { name: "batch" },
    ...extra,
  });
  return declaration as Declaration & { kind: "job" };
};

const service = (replicas: number, program = "endpoint"): Declaration =>
  declarationSchema.parse({
    kind: "service",
    name: "bays",
    replicas,
    resources: { processors: 1, memoryMiB: 64 },
    program: { name: program },
    routes: [{ prefix: "/bays", class: "query", repeatable: true }],
  });

const submit = (name: string, extra?: object): LogRecord => ({
  type: "submit",
  job: job(name, extra),
});

const claim = (unit: string, attempt = 1, host = HOST): LogRecord => ({
  type: "claim",
  unit: unitId(unit),
  attempt,
  host,
  generation: GENERATION,
  reservation: brand<ReservationId>("r"),
});

const ended = (
  unit: string,
  attempt: number,
  end: "failed" | "succeeded" | "checkpointed",
): LogRecord => ({
  type: "ended",
  unit: unitId(unit),
  attempt,
  host: HOST,
  end,
  ...(end === "checkpointed" ? { checkpoint: "step=3" } : {}),
});

const apply = (declaration: Declaration, base: number): LogRecord => ({
  type: "apply",
  operator: "op",
  base: sequence(base),
  changes: [{ action: "put", declaration }],
});

test("the first claim for the open attempt is accepted, the second rejected", () => {
  const fold = new Fold();
  fold.apply(submit("a"));
  expect(fold.apply(claim("job/a")).accepted).toEqual(true);
  const second = fold.apply(claim("job/a", 1, hostId("host-2")));
  expect(second).toLooseEqual({
    accepted: false,
    sequence: 3,
    reason: "not-open",
    detail: "attempt 1 is claimed",
  });
  expect(fold.units.get(unitId("job/a"))?.claim?.host).toEqual(HOST);
});

test("an evicted job opens its next attempt once, with the checkpoint", () => {
  const fold = new Fold();
  fold.apply(submit("a"));
  fold.apply(claim("job/a"));
  expect(fold.apply(ended("job/a", 1, "checkpointed")).accepted).toEqual(true);
  expect(fold.apply(ended("job/a", 1, "checkpointed")).accepted).toEqual(false);
  const unit = fold.units.get(unitId("job/a"));
  expect([unit?.attempt, unit?.phase, unit?.checkpoint]).toEqual([
    2,
    "open",
    "step=3",
  ]);
});

test("a job that reaches its failure limit fails permanently", () => {
  const fold = new Fold();
  fold.apply(submit("a", { maxFailures: 2 }));
  for (const attempt of [1, 2]) {
    fold.apply(claim("job/a", attempt));
    fold.apply(ended("job/a", attempt, "failed"));
  }
  expect(fold.units.get(unitId("job/a"))?.finish).toEqual("failed");
});

test("a cancelled job does not open another attempt", () => {
  const fold = new Fold();
  fold.apply(submit("a"));
  fold.apply(claim("job/a"));
  fold.apply({ type: "cancel", unit: unitId("job/a") });
  fold.apply(ended("job/a", 1, "failed"));
  expect(fold.units.get(unitId("job/a"))?.finish).toEqual("cancelled");
});

test("of two operators' changes to one declaration the first is accepted and the second is rejected as a conflict", () => {
  const fold = new Fold();
  expect(fold.apply(apply(service(1), 0)).accepted).toEqual(true);
  expect(fold.apply(apply(service(2), 1)).accepted).toEqual(true);
  const late = fold.apply(apply(service(9), 1));
  expect(late.accepted === false && late.reason).toEqual("conflict");
  const held = fold.config.get("service", "bays");
  expect(held?.kind === "service" && held.replicas).toEqual(2);
});

test("a change based on a version before the declaration was removed is rejected", () => {
  const fold = new Fold();
  fold.apply(apply(service(1), 0));
  fold.apply({
    type: "apply",
    operator: "a",
    base: sequence(1),
    changes: [{ action: "remove", kind: "service", name: "bays" }],
  });
  expect(fold.apply(apply(service(3), 1)).accepted).toEqual(false);
});

test("reducing the replicas ends the highest ones, and a changed program sets a new spec version", () => {
  const fold = new Fold();
  fold.apply(apply(service(3), 0));
  fold.apply(claim("service/bays/0"));
  fold.apply(apply(service(1, "endpoint-2"), 1));
  expect([...fold.units.unfinishedUnits()].map(({ id }) => id)).toEqual([
    unitId("service/bays/0"),
  ]);
  const unit = fold.units.get(unitId("service/bays/0"));
  expect((unit?.claim?.specVersion ?? 9) < (unit?.specVersion ?? 0)).toEqual(
    true,
  );
});

test("a team's quota limits the total resources of its claims and its number of jobs", () => {
  const fold = new Fold();
  const quota = {
    kind: "quota",
    name: "default",
    resources: { processors: 1, memoryMiB: 1_000 },
    maxJobs: 2,
  };
  fold.apply(apply(declarationSchema.parse(quota), 0));
  for (const name of ["a", "b"]) fold.apply(submit(name));
  const third = fold.apply(submit("c"));
  expect(third.accepted === false && third.reason).toEqual("quota");
  expect(fold.apply(claim("job/a")).accepted).toEqual(true);
  const over = fold.apply(claim("job/b"));
  expect(over.accepted === false && over.reason).toEqual("quota");
  fold.apply(ended("job/a", 1, "succeeded"));
  expect(fold.apply(claim("job/b")).accepted).toEqual(true);
});

test("the certified end of a host ends its claims and rejects later ones", () => {
  const fold = new Fold();
  fold.apply(submit("a"));
  fold.apply(claim("job/a"));
  fold.apply({
    type: "hostEnded",
    host: HOST,
    generation: GENERATION,
    certifiedBy: "operator",
  });
  expect(fold.units.get(unitId("job/a"))?.attempt).toEqual(2);
  const late = fold.apply(claim("job/a", 2));
  expect(late.accepted === false && late.reason).toEqual("host-ended");
});

test("a record that is read twice is applied once", () => {
  const fold = new Fold();
  const batch = {
    writer: WRITER,
    first: 0,
    records: [submit("a"), submit("b")],
  };
  fold.applyBatch(batch);
  fold.applyBatch(batch);
  expect(Number(fold.sequence)).toEqual(2);
});

test("a key has one holder and one outcome", () => {
  const fold = new Fold();
  const named = { service: brand<ServiceName>("s"), key: "k" };
  const claimKey = (request: string, digest: string): LogRecord => ({
    ...named,
    type: "requestClaim",
    digest,
    request: brand<RequestId>(request),
  });
  expect(fold.apply(claimKey("r1", "d")).accepted).toEqual(true);
  const reasons = [claimKey("r2", "d"), claimKey("r3", "other")].map(
    (record) => {
      const result = fold.apply(record);
      return result.accepted ? "accepted" : result.reason;
    },
  );
  expect(reasons).toEqual(["key-claimed", "key-reused"]);
  const outcome = (request: string): LogRecord => ({
    ...named,
    type: "requestOutcome",
    status: 200,
    request: brand<RequestId>(request),
  });
  expect(fold.apply(outcome("r2")).accepted).toEqual(false);
  expect(fold.apply(outcome("r1")).accepted).toEqual(true);
  const release: LogRecord = {
    ...named,
    type: "requestRelease",
    request: brand<RequestId>("r1"),
  };
  expect(fold.apply(release).accepted).toEqual(false);
});

/** Records that use few names, so that they affect each other. */
const anyRecord: fc.Arbitrary<LogRecord> = fc.oneof(
  fc
    .constantFrom("a", "b", "c")
    .map((name) => submit(name, { maxFailures: 2 })),
  fc
    .tuple(
      fc.constantFrom("job/a", "job/b", "service/bays/0"),
      fc.integer({ min: 1, max: 4 }),
      fc.constantFrom("host-1", "host-2"),
    )
    .map(([unit, attempt, host]) => claim(unit, attempt, hostId(host))),
  fc
    .tuple(
      fc.constantFrom("job/a", "job/b", "service/bays/0"),
      fc.integer({ min: 1, max: 4 }),
      fc.constantFrom(
        "failed" as const,
        "succeeded" as const,
        "checkpointed" as const,
      ),
    )
    .map(([unit, attempt, end]) => ended(unit, attempt, end)),
  fc
    .tuple(fc.integer({ min: 0, max: 3 }), fc.integer({ min: 0, max: 30 }))
    .map(([replicas, base]) => apply(service(replicas), base)),
  fc
    .constantFrom("job/a", "service/bays/0")
    .map((unit) => ({ type: "cancel", unit: unitId(unit) }) as const),
  fc.constantFrom(1, 2).map(
    (generation) =>
      ({
        type: "hostEnded",
        host: HOST,
        generation: brand<HostGeneration>(generation),
        certifiedBy: "hostList",
      }) as const,
  ),
);

test("a fold restored from a snapshot continues exactly like the original fold", () => {
  fc.assert(
    fc.property(
      fc.array(anyRecord, { maxLength: 60 }),
      fc.nat(60),
      (records, cut) => {
        const whole = new Fold();
        const early = new Fold();
        for (const record of records.slice(0, cut)) early.apply(record);
        const restored = new Fold();
        restored.restore(early.toSnapshot());
        const results = records.map((record) => whole.apply(record));
        const later = records
          .slice(cut)
          .map((record) => restored.apply(record));
        expect(later).toEqual(results.slice(cut));
        expect(restored.toSnapshot()).toEqual(whole.toSnapshot());
      },
    ),
    { seed: 7, numRuns: 300 },
  );
});

test("records are unchanged after encoding and decoding, and other bytes raise UnreadableEntryError", () => {
  fc.assert(
    fc.property(fc.array(anyRecord, { maxLength: 20 }), (records) => {
      const batch = { writer: WRITER, first: 5, records };
      expect(decodeBatch(encodeBatch(batch))).toEqual(batch);
    }),
    { seed: 7 },
  );
  fc.assert(
    fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => {
      expect(() => decodeBatch(Buffer.from(bytes))).toThrow(
        UnreadableEntryError,
      );
    }),
    { seed: 7, numRuns: 500 },
  );
});
