/** The reasons that the log gives for hosts on which a waiting task is not placed. */

import { test } from "node:test";
import { expect } from "earl";
import type { PermitService } from "@rackspan/ports";
import { ejectHost } from "./ejectHost.js";
import { taskId } from "./engineHarness.js";
import { harnessWithLog } from "./harnessWithLog.js";

/** By then a wait is logged, and a lasting task tries ejected hosts. */
const LOGGED_MS = 4_500;

const tooLarge = {
  demand: { milliCores: 40_000, memoryMiB: 10, accelerators: 0 },
};

const waitOf = (lines: readonly string[], task: string): string =>
  lines.findLast(
    (line) =>
      line.includes("event=task.waits ") &&
      line.includes(`task=${taskId(task)} `),
  ) ?? "";

test("an ejected host is logged as ejected if its service has another host", async () => {
  const { harness, lines } = harnessWithLog();
  await ejectHost(harness, await harness.addHost("h1"));
  await harness.addHost("h2");
  harness.submit("j", [tooLarge]);
  await harness.run(LOGGED_MS);
  expect(waitOf(lines, "j.0.0.0")).toInclude("ejected=1");
  expect(waitOf(lines, "j.0.0.0")).toInclude("room=1");
});

test("the only host of a service takes tasks although it is ejected and is not logged as ejected", async () => {
  const { harness, lines } = harnessWithLog();
  await ejectHost(harness, await harness.addHost("h1"));
  harness.submit("j", [tooLarge]);
  await harness.run(LOGGED_MS);
  expect(waitOf(lines, "j.0.0.0")).toInclude("room=1");
  expect(waitOf(lines, "j.0.0.0")).not.toInclude("ejected");
});

test("an ejected host that a lasting task tries as its last resort is not logged as ejected", async () => {
  const { harness, lines } = harnessWithLog();
  await ejectHost(harness, await harness.addHost("h1"));
  await harness.addHost("h2");
  harness.submit("l", [{ lasting: true, ...tooLarge }]);
  await harness.run(LOGGED_MS);
  expect(waitOf(lines, "l.0.0.0")).toInclude("room=2");
  expect(waitOf(lines, "l.0.0.0")).not.toInclude("ejected");
});

// A step whose permits were missing was logged as refused by the placer.
test("a host without a permit, or without a valid ticket, is logged as such", async () => {
  const permits: PermitService = {
    requestPermits: async ({ instances }) => ({
      permits: instances
        .filter((instance) => instance.startsWith("h1"))
        .map((instance) => ({ instance, ticket: "t" })),
      validMs: 10_000,
    }),
  };
  const permitRule = { decideMs: 0, eachMs: 0, validMs: 10_000 };
  const { harness, lines } = harnessWithLog({ permits, permitRule });
  await harness.addHost("h1");
  await harness.addHost("h2");
  harness.submit("j", [{ maxPerHost: 1, taskCount: 2 }]);
  await harness.run(LOGGED_MS);
  expect(waitOf(lines, "j.0.0.1")).toInclude("label-or-limit=1");
  expect(waitOf(lines, "j.0.0.1")).toInclude("permit-refused=1");
});
