/** Which incarnation of a worker a side considers current. */

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
import { createHeartbeat } from "./createHeartbeat.js";

const createRegistry = () =>
  new WorkerRegistry(new ManualClock(), silentLogger);

test("a late heartbeat of the previous incarnation changes nothing", () => {
  const registry = createRegistry();
  registry.recordHeartbeat(createHeartbeat("old", 4));
  registry.recordHeartbeat(createHeartbeat("new", 1));
  registry.recordHeartbeat(createHeartbeat("old", 5));
  expect(registry.worker?.instance).toEqual(brand<WorkerInstance>("new"));
  registry.recordHeartbeat(createHeartbeat("new", 2));
  expect(registry.worker?.instance).toEqual(brand<WorkerInstance>("new"));
});

test("a late heartbeat of an unregistered incarnation does not lock out the current one", () => {
  const registry = createRegistry();
  registry.recordHeartbeat(createHeartbeat("present", 3));
  // This side was started after that incarnation had ended.
  registry.recordHeartbeat(createHeartbeat("former", 9));
  registry.recordGone(
    brand<WorkerInstance>("former"),
    "another incarnation answers",
  );
  expect(registry.worker?.instance).toEqual(brand<WorkerInstance>("present"));
  registry.recordHeartbeat(createHeartbeat("former", 10));
  registry.recordHeartbeat(createHeartbeat("present", 4));
  expect(registry.worker?.instance).toEqual(brand<WorkerInstance>("present"));
});

test("an incarnation whose replacement has answered is not accepted again", () => {
  const registry = createRegistry();
  registry.recordHeartbeat(createHeartbeat("first", 3));
  registry.recordHeartbeat(createHeartbeat("second", 1));
  registry.confirmCurrent(brand<WorkerInstance>("second"));
  registry.recordGone(brand<WorkerInstance>("second"), "the worker left");
  expect(registry.worker).toEqual(undefined);
  registry.recordHeartbeat(createHeartbeat("first", 4));
  expect(registry.worker).toEqual(undefined);
});

test("late heartbeats of two unregistered incarnations do not lock out the current one", () => {
  const registry = createRegistry();
  registry.recordHeartbeat(createHeartbeat("present", 3));
  for (const previous of ["former-1", "former-2"]) {
    registry.recordHeartbeat(createHeartbeat(previous, 9));
  }
  for (const previous of ["former-2", "former-1"]) {
    registry.recordGone(
      brand<WorkerInstance>(previous),
      "another incarnation answers",
    );
  }
  expect(registry.worker?.instance).toEqual(brand<WorkerInstance>("present"));
  registry.recordHeartbeat(createHeartbeat("present", 4));
  expect(registry.worker?.instance).toEqual(brand<WorkerInstance>("present"));
});

test("a heartbeat of another service than the host's is refused, and the registered worker is unaffected", () => {
  const service = brand<ServiceName>("minutes");
  const registry = new WorkerRegistry(new ManualClock(), silentLogger, service);
  expect(() => registry.recordHeartbeat(createHeartbeat("other"))).toThrow(
    OtherServiceError,
  );
  expect(registry.worker).toEqual(undefined);
});
