/** Which life of a worker a side takes as the present one. */

import { test } from "node:test";
import { expect } from "earl";
import {
  brand,
  ManualClock,
  silentLogger,
  type ServiceName,
  type WorkerInstance,
} from "@rackspan/common";
import { OtherServiceError, WorkerRegistry } from "@rackspan/side";
import { beatOf } from "./beatOf.js";

const createRegistry = () =>
  new WorkerRegistry(new ManualClock(), silentLogger);

test("a heartbeat of the life before that arrives late changes nothing", () => {
  const registry = createRegistry();
  registry.noteHeartbeat(beatOf("old", 4));
  registry.noteHeartbeat(beatOf("new", 1));
  registry.noteHeartbeat(beatOf("old", 5));
  expect(registry.worker?.instance).toEqual(brand<WorkerInstance>("new"));
  registry.noteHeartbeat(beatOf("new", 2));
  expect(registry.worker?.instance).toEqual(brand<WorkerInstance>("new"));
});

test("a life that was never heard before does not keep the present one out", () => {
  const registry = createRegistry();
  registry.noteHeartbeat(beatOf("present", 3));
  // This side was started after that life had ended.
  registry.noteHeartbeat(beatOf("former", 9));
  registry.noteGone(brand<WorkerInstance>("former"), "another life answers");
  expect(registry.worker?.instance).toEqual(brand<WorkerInstance>("present"));
  registry.noteHeartbeat(beatOf("former", 10));
  registry.noteHeartbeat(beatOf("present", 4));
  expect(registry.worker?.instance).toEqual(brand<WorkerInstance>("present"));
});

test("a life that the next one has replaced for good does not come back", () => {
  const registry = createRegistry();
  registry.noteHeartbeat(beatOf("first", 3));
  registry.noteHeartbeat(beatOf("second", 1));
  registry.noteAnswered(brand<WorkerInstance>("second"));
  registry.noteGone(brand<WorkerInstance>("second"), "the worker left");
  expect(registry.worker).toEqual(undefined);
  registry.noteHeartbeat(beatOf("first", 4));
  expect(registry.worker).toEqual(undefined);
});

test("two lives that were never heard before do not keep the present one out", () => {
  const registry = createRegistry();
  registry.noteHeartbeat(beatOf("present", 3));
  for (const former of ["former-1", "former-2"]) {
    registry.noteHeartbeat(beatOf(former, 9));
  }
  for (const former of ["former-2", "former-1"]) {
    registry.noteGone(brand<WorkerInstance>(former), "another life answers");
  }
  expect(registry.worker?.instance).toEqual(brand<WorkerInstance>("present"));
  registry.noteHeartbeat(beatOf("present", 4));
  expect(registry.worker?.instance).toEqual(brand<WorkerInstance>("present"));
});

test("a heartbeat of another service than the host's is refused, and the worker here goes on", () => {
  const service = brand<ServiceName>("minutes");
  const registry = new WorkerRegistry(new ManualClock(), silentLogger, service);
  expect(() => registry.noteHeartbeat(beatOf("other"))).toThrow(
    OtherServiceError,
  );
  expect(registry.worker).toEqual(undefined);
});
