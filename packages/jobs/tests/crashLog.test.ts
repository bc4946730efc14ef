/** When the evidence from a task's lost runs suffices to fail it permanently. */

import { test } from "node:test";
import { expect } from "earl";
import { CrashLog } from "@rackspan/jobs";
import type { CrashEvidence } from "@rackspan/state";

const logOf = (...evidence: readonly CrashEvidence[]): CrashLog =>
  new CrashLog(evidence.map((one, run) => [run, one]));

test("one crash just after the start makes a task suspect, and so do two losses", () => {
  expect(logOf("young").isSuspect).toEqual(true);
  expect(logOf("lost").isSuspect).toEqual(false);
  expect(logOf("lost", "settled").isSuspect).toEqual(true);
});

test("two crashes suffice if one of them is attributed to the task alone", () => {
  expect(logOf("young", "sole").hasReachedLimit).toEqual(true);
  expect(logOf("young", "young").hasReachedLimit).toEqual(false);
  expect(logOf("sole").hasReachedLimit).toEqual(false);
});

test("a loss that may not have been a crash of the task does not count as the second crash", () => {
  for (const other of ["unseen", "unknown", "lost", "unanswered"] as const) {
    expect(logOf(other, "sole").hasReachedLimit).toEqual(false);
  }
});

test("without proof three crashes suffice, or twelve points with two crashed workers", () => {
  expect(logOf("young", "young", "young").hasReachedLimit).toEqual(true);
  const losses = Array.from({ length: 4 }, () => "lost" as const);
  expect(logOf(...losses, "unseen").hasReachedLimit).toEqual(false);
  expect(logOf(...losses.slice(1), "unseen", "unseen").hasReachedLimit).toEqual(
    false,
  );
  expect(logOf(...losses, "unseen", "unseen").hasReachedLimit).toEqual(true);
});

test("three crashes suffice although one run may have ended, if another run was isolated", () => {
  expect(logOf("unheard", "young").hasReachedLimit).toEqual(false);
  expect(logOf("unheard", "young", "doubted").hasReachedLimit).toEqual(true);
  expect(logOf("unheard", "unheard", "doubted").hasReachedLimit).toEqual(false);
});

test("three shared workers that crashed do not suffice if one run may have ended", () => {
  expect(logOf("unheard", "young", "young").hasReachedLimit).toEqual(false);
  expect(logOf("unheard", "young", "young", "unheard").hasReachedLimit).toEqual(
    true,
  );
});

test("a run that never started is no evidence", () => {
  const log = logOf("young", "unseen");
  expect([log.remove(1), log.points, log.remove(1)]).toEqual([true, 4, false]);
});

test("hosts that only became silent never suffice, whatever their number", () => {
  const losses = Array.from({ length: 40 }, () => "lost" as const);
  expect(logOf(...losses).hasReachedLimit).toEqual(false);
  expect(logOf(...losses, "young").hasReachedLimit).toEqual(false);
  expect(logOf(...losses, "young", "settled").hasReachedLimit).toEqual(true);
});

test("a run counts once, with the evidence recorded last", () => {
  const log = logOf("sole", "young");
  log.record(0, "young");
  expect([log.points, log.hasReachedLimit]).toEqual([8, false]);
});

test("write-ahead records without orders add few points, however many there are", () => {
  const unknown = Array.from({ length: 9 }, () => "unknown" as const);
  expect(logOf(...unknown).points).toEqual(2);
  expect(logOf(...unknown, "young", "young").hasReachedLimit).toEqual(false);
  expect(logOf(...unknown, "young", "young", "unseen").hasReachedLimit).toEqual(
    true,
  );
});

// Sides of busy workers may have no evidence that a run was at work.
test("four crashes suffice, and three do not, if no run is known to have been at work", () => {
  const unheard = Array.from({ length: 4 }, () => "unheard" as const);
  expect(logOf(...unheard.slice(1)).hasReachedLimit).toEqual(false);
  expect(logOf(...unheard).hasReachedLimit).toEqual(true);
});

test("four crashes suffice if one run is known to have been at work", () => {
  expect(
    logOf("unheard", "unheard", "unheard", "young").hasReachedLimit,
  ).toEqual(true);
});

test("write-ahead records without orders do not count as lost runs", () => {
  const three = Array.from({ length: 3 }, () => "unheard" as const);
  const log = logOf(...three, "unseen", "unknown", "unknown");
  expect([log.points, log.hasReachedLimit]).toEqual([13, false]);
  expect(
    logOf(...three, "unseen", "unknown", "unseen").hasReachedLimit,
  ).toEqual(true);
});

// Runs that had ended unreported or never started cannot have crashed their workers.
test("four runs that are not known to have been at work do not suffice", () => {
  const log = logOf("unheard", "unseen", "unheard", "unanswered");
  expect([log.points, log.hasReachedLimit]).toEqual([12, false]);
});

// Neither lost runs that no worker had reported nor write-ahead records without orders prove a crash.
test("runs that may not have started do not suffice together with one crash", () => {
  const log = logOf("unseen", "unseen", "young", "unknown", "unknown");
  expect([log.points, log.hasReachedLimit]).toEqual([10, false]);
});
