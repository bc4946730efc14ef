import { test } from "node:test";
import { expect } from "earl";
import { hostMethods, leaderMethods } from "@rackspan/protocol";

/**
 * Messages as written by the first version; later versions must
 * remain able to read them.
 */
const FIRST_START = {
  task: "j.0.0.0",
  run: 1_048_577,
  instance: "i-1",
  epoch: 1,
  spec: "work",
  leaseUntil: 5_000,
  checkpoint: "",
  nature: { kind: "filling", tailTargetMs: 0, image: "render" },
};
const FIRST_REPORT = {
  worker: {
    instance: "i-1",
    service: "kaigi",
    labels: ["a", "r1"],
    milliCores: 32_000,
    memoryMiB: 128_000,
    accelerators: 0,
    draining: false,
  },
  at: 1_000,
  running: [],
  ended: [],
};
const FIRST_GRANT = { leaseUntil: 7_000, acknowledged: 3 };

test("orders, reports and grants of the first version can be read", () => {
  const start = hostMethods.startTask.params.parse(FIRST_START);
  expect(start.nature.milliCores).toEqual(0);
  expect(leaderMethods.report.params.safeParse(FIRST_REPORT).success).toEqual(
    true,
  );
  expect(leaderMethods.report.result.safeParse(FIRST_GRANT).success).toEqual(
    true,
  );
});

test("fields of later versions are ignored", () => {
  const later = { ...FIRST_START, fromLater: { deep: true } };
  expect(hostMethods.startTask.params.safeParse(later).success).toEqual(true);
  const report = { ...FIRST_REPORT, fromLater: 1 };
  expect(leaderMethods.report.params.safeParse(report).success).toEqual(true);
});
