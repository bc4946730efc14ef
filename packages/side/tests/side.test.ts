import { test } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import {
  ManualClock,
  requestId,
  taskIdOf,
  unitId,
  type ReservationId,
} from "@rackspan/common";
import {
  AdmissionGate,
  Commitments,
  OverCommitError,
  RequestFences,
  ReservationGoneError,
  type TaskIdentity,
} from "@rackspan/side";

const identity = (name: string): TaskIdentity => {
  const unit = unitId(`job/${name}`);
  return { task: taskIdOf(unit, 1), unit, attempt: 1, kind: "job" };
};

const amounts = (processors: number) => ({
  processors,
  memoryMiB: 10,
  accelerators: 0,
});

const createCommitments = (processors = 8) => {
  const clock = new ManualClock();
  const commitments = new Commitments({ clock, reservationTtlMs: 1_000 });
  commitments.setCapacity({ processors, memoryMiB: 1_000, accelerators: 0 });
  return { clock, commitments };
};

test("a host never commits more than its capacity, for any sequence of calls", () => {
  const step = fc.record({
    action: fc.constantFrom("reserve", "commit", "release", "uncommit"),
    index: fc.nat(9),
    processors: fc.integer({ min: 1, max: 50 }).map((tenths) => tenths / 10),
  });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
      const { commitments } = createCommitments();
      const reserved: { readonly id: ReservationId; readonly name: string }[] =
        [];
      for (const { action, index, processors } of steps) {
        const chosen = reserved[index % Math.max(1, reserved.length)];
        try {
          if (action === "reserve") {
            const name = `${reserved.length}`;
            reserved.push({
              id: commitments.reserve(identity(name), amounts(processors)).id,
              name,
            });
          } else if (chosen && action === "commit") {
            commitments.commit(chosen.id, identity(chosen.name).task);
          } else if (chosen && action === "release") {
            commitments.release(chosen.id);
          } else if (chosen) {
            commitments.uncommit(identity(chosen.name).task);
          }
        } catch (err) {
          expect(
            err instanceof OverCommitError ||
              err instanceof ReservationGoneError,
          ).toEqual(true);
        }
        expect(commitments.free.processors >= 0).toEqual(true);
      }
    }),
    { seed: 7, numRuns: 500 },
  );
});

test("a paused entry cannot start under a reservation that has expired", async () => {
  const { clock, commitments } = createCommitments();
  const { id } = commitments.reserve(identity("a"), amounts(8));
  await clock.advance(1_001);
  commitments.reserve(identity("b"), amounts(8));
  expect(() => commitments.commit(id, identity("a").task)).toThrow(
    ReservationGoneError,
  );
});

test("a reservation is valid for its own task only", () => {
  const { commitments } = createCommitments();
  const { id } = commitments.reserve(identity("a"), amounts(1));
  expect(() => commitments.commit(id, identity("b").task)).toThrow(
    ReservationGoneError,
  );
});

const attempt = (request: string, number = 1) => ({
  request: requestId(request),
  attempt: number,
});

test("a fenced attempt never starts, and a started one is never reported as not run", () => {
  const fences = new RequestFences(new ManualClock(), 100);
  expect(fences.fence(attempt("a"), 5)).toEqual("no");
  expect(fences.tryStart(attempt("a"))).toEqual("fenced");
  expect(fences.tryStart(attempt("a", 2))).toEqual("started");
  expect(fences.fence(attempt("a", 2), 5)).toEqual("yes");
  expect(fences.tryStart(attempt("a", 2))).toEqual("repeated");
});

test("an attempt whose record may have been dropped is reported as unknown", async () => {
  const clock = new ManualClock();
  const fences = new RequestFences(clock, 3);
  expect(fences.tryStart(attempt("old"))).toEqual("started");
  for (const name of ["b", "c", "d"]) {
    await clock.advance(10);
    fences.tryStart(attempt(name));
  }
  // Sent 30 ms ago, when "old" started, whose record has been dropped by now.
  expect(fences.fence(attempt("old"), 30)).toEqual("unknown");
  expect(fences.fence(attempt("young"), 5)).toEqual("no");
});

test("slots and connections are hard limits, and a wait for a slot ends at the deadline", async () => {
  const clock = new ManualClock();
  const gate = new AdmissionGate({
    clock,
    slots: 2,
    connections: 4,
    maxQueued: 2,
  });
  const first = await gate.admitRequest(1_000);
  await gate.admitRequest(1_000);
  const third = gate.admitRequest(1_000);
  const fourth = gate.admitRequest(100);
  const fifth = await gate.admitRequest(1_000);
  expect(fifth).toEqual({ admitted: false, reason: "connections-busy" });
  await clock.advance(101);
  expect(await fourth).toEqual({ admitted: false, reason: "deadline" });
  if (first.admitted) {
    first.permit.release();
    first.permit.release();
  }
  expect((await third).admitted).toEqual(true);
  expect([gate.busySlots, gate.openConnections]).toEqual([2, 2]);
  const watch = gate.admitWatch();
  expect([watch.admitted, gate.busySlots, gate.openConnections]).toEqual([
    true,
    2,
    3,
  ]);
});

test("an expired request does not take up space in the queue", async () => {
  const clock = new ManualClock();
  const gate = new AdmissionGate({
    clock,
    slots: 1,
    connections: 9,
    maxQueued: 1,
  });
  const first = await gate.admitRequest(1_000);
  const late = gate.admitRequest(10);
  await clock.advance(11);
  expect((await late).admitted).toEqual(false);
  const next = gate.admitRequest(1_000);
  expect(gate.queued).toEqual(1);
  if (first.admitted) first.permit.release();
  expect((await next).admitted).toEqual(true);
});

test("requests beyond the queue limit are refused at once", async () => {
  const gate = new AdmissionGate({
    clock: new ManualClock(),
    slots: 1,
    connections: 9,
    maxQueued: 1,
  });
  await gate.admitRequest(1_000);
  void gate.admitRequest(1_000);
  expect(await gate.admitRequest(1_000)).toEqual({
    admitted: false,
    reason: "slots-busy",
  });
});
