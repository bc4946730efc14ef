/** When what is known of a task's lost runs is enough to give it up. */

import { test } from "node:test";
import { expect } from "earl";
import { CrashLog } from "@rackspan/jobs";
import type { CrashEvidence } from "@rackspan/state";

const logOf = (...evidence: readonly CrashEvidence[]): CrashLog =>
  new CrashLog(evidence.map((one, run) => [run, one]));

test("one crash just after the start makes a task suspected, and two losses do", () => {
  expect(logOf("young").isSuspect).toEqual(true);
  expect(logOf("lost").isSuspect).toEqual(false);
  expect(logOf("lost", "settled").isSuspect).toEqual(true);
});

test("two crashes, one of them the task's alone, are enough", () => {
  expect(logOf("young", "sole").hasReachedLimit).toEqual(true);
  expect(logOf("young", "young").hasReachedLimit).toEqual(false);
  expect(logOf("sole").hasReachedLimit).toEqual(false);
});

test("what may not have been a crash under the task is no second crash", () => {
  for (const other of ["unseen", "unknown", "lost", "unanswered"] as const) {
    expect(logOf(other, "sole").hasReachedLimit).toEqual(false);
  }
});

test("without proof three crashes are enough, or twelve points of which two crashed workers", () => {
  expect(logOf("young", "young", "young").hasReachedLimit).toEqual(true);
  const losses = Array.from({ length: 4 }, () => "lost" as const);
  expect(logOf(...losses, "unseen").hasReachedLimit).toEqual(false);
  expect(logOf(...losses.slice(1), "unseen", "unseen").hasReachedLimit).toEqual(
    false,
  );
  expect(logOf(...losses, "unseen", "unseen").hasReachedLimit).toEqual(true);
});

test("three crashes are enough although the run of one may have ended, if one began apart", () => {
  expect(logOf("unheard", "young").hasReachedLimit).toEqual(false);
  expect(logOf("unheard", "young", "doubted").hasReachedLimit).toEqual(true);
  expect(logOf("unheard", "unheard", "doubted").hasReachedLimit).toEqual(false);
});

test("three workers shared with tasks that crash them are not enough if a run may have ended", () => {
  expect(logOf("unheard", "young", "young").hasReachedLimit).toEqual(false);
  expect(logOf("unheard", "young", "young", "unheard").hasReachedLimit).toEqual(
    true,
  );
});

test("a run that never began says nothing", () => {
  const log = logOf("young", "unseen");
  expect([log.remove(1), log.points, log.remove(1)]).toEqual([true, 4, false]);
});

test("hosts that only fell silent are never enough, whatever their number", () => {
  const losses = Array.from({ length: 40 }, () => "lost" as const);
  expect(logOf(...losses).hasReachedLimit).toEqual(false);
  expect(logOf(...losses, "young").hasReachedLimit).toEqual(false);
  expect(logOf(...losses, "young", "settled").hasReachedLimit).toEqual(true);
});

test("a run counts once, by what was noted of it last", () => {
  const log = logOf("sole", "young");
  log.record(0, "young");
  expect([log.points, log.hasReachedLimit]).toEqual([8, false]);
});

test("changes of leader between announcements and orders add little, however many", () => {
  const unknown = Array.from({ length: 9 }, () => "unknown" as const);
  expect(logOf(...unknown).points).toEqual(2);
  expect(logOf(...unknown, "young", "young").hasReachedLimit).toEqual(false);
  expect(logOf(...unknown, "young", "young", "unseen").hasReachedLimit).toEqual(
    true,
  );
});

// Sides of busy workers may not know that a run was at work.
test("crashes under runs that nobody saw at work give a task up after four, not after three", () => {
  const unheard = Array.from({ length: 4 }, () => "unheard" as const);
  expect(logOf(...unheard.slice(1)).hasReachedLimit).toEqual(false);
  expect(logOf(...unheard).hasReachedLimit).toEqual(true);
});

test("four crashes are enough if one run is known to have been at work", () => {
  expect(
    logOf("unheard", "unheard", "unheard", "young").hasReachedLimit,
  ).toEqual(true);
});

test("announcements that nobody ordered are no lost runs", () => {
  const three = Array.from({ length: 3 }, () => "unheard" as const);
  const log = logOf(...three, "unseen", "unknown", "unknown");
  expect([log.points, log.hasReachedLimit]).toEqual([13, false]);
  expect(
    logOf(...three, "unseen", "unknown", "unseen").hasReachedLimit,
  ).toEqual(true);
});

// Runs that ended unheard of or never began crashed nothing.
test("four runs of which nobody knows whether they were at work are not enough", () => {
  const log = logOf("unheard", "unseen", "unheard", "unanswered");
  expect([log.points, log.hasReachedLimit]).toEqual([12, false]);
});

// Neither lost runs that no worker had shown nor announcements without an order prove a crash.
test("runs that may not have begun do not give a task up beside one crash", () => {
  const log = logOf("unseen", "unseen", "young", "unknown", "unknown");
  expect([log.points, log.hasReachedLimit]).toEqual([10, false]);
});
