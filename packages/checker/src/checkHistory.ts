/** Checks the invariants of requests, tasks and configuration over a history. */

import {
  addResources,
  firstShortage,
  NO_RESOURCES,
  subtractResources,
  type Resources,
} from "@rackspan/common";
import type { HistoryEvent } from "./history.js";

export const INVARIANTS = [
  "commitment",
  "one-place",
  "resumes-once",
  "own-answer",
  "not-run",
  "at-most-once",
  "leaving",
  "planned-stop",
  "config",
] as const;
export type Invariant = (typeof INVARIANTS)[number];

export interface Violation {
  readonly invariant: Invariant;
  readonly detail: string;
  readonly at: number;
}

type EventOf<T extends HistoryEvent["type"]> = Extract<
  HistoryEvent,
  { type: T }
>;

const ofType = <T extends HistoryEvent["type"]>(
  events: readonly HistoryEvent[],
  type: T,
): readonly EventOf<T>[] =>
  events.filter((event): event is EventOf<T> => event.type === type);

/** How long a leaving host may still start work that was already under way, milliseconds. */
const LEAVING_GRACE_MS = 5_000;

const checkCommitment = (events: readonly HistoryEvent[]): Violation[] => {
  const capacities = new Map<string, Resources>();
  const used = new Map<string, Resources>();
  const held = new Map<string, Resources>();
  const violations: Violation[] = [];
  for (const event of events) {
    if (event.type === "capacity") capacities.set(event.host, event.capacity);
    if (event.type === "taskStarted") {
      const { host, task, resources, at } = event;
      const sum = addResources(used.get(host) ?? NO_RESOURCES, resources);
      used.set(host, sum);
      held.set(`${host} ${task}`, resources);
      const shortage = firstShortage(sum, capacities.get(host) ?? NO_RESOURCES);
      if (shortage) {
        violations.push({
          invariant: "commitment",
          detail: `${host}: ${shortage}`,
          at,
        });
      }
    }
    if (event.type === "taskEnded") {
      const resources = held.get(`${event.host} ${event.task}`) ?? NO_RESOURCES;
      held.delete(`${event.host} ${event.task}`);
      used.set(
        event.host,
        subtractResources(used.get(event.host) ?? NO_RESOURCES, resources),
      );
    }
  }
  return violations;
};

const checkOnePlace = (events: readonly HistoryEvent[]): Violation[] => {
  const running = new Map<string, string>();
  const violations: Violation[] = [];
  for (const event of events) {
    if (event.type === "taskStarted") {
      const { unit, host, task, at } = event;
      const other = running.get(unit);
      if (other)
        violations.push({
          invariant: "one-place",
          detail: `${task} on ${host} beside ${other}`,
          at,
        });
      running.set(unit, `${task} on ${host}`);
    }
    if (
      event.type === "taskEnded" &&
      running.get(event.unit) === `${event.task} on ${event.host}`
    ) {
      running.delete(event.unit);
    }
  }
  return violations;
};

/** Checks that each attempt starts once, each unit succeeds once, and no accepted job is lost. */
const checkResumesOnce = (events: readonly HistoryEvent[]): Violation[] => {
  const violations: Violation[] = [];
  const report = (detail: string, at: number): void => {
    violations.push({ invariant: "resumes-once", detail, at });
  };
  const started = new Set<string>();
  for (const { task, at } of ofType(events, "taskStarted")) {
    if (started.has(task)) report(`${task} was started twice`, at);
    started.add(task);
  }
  const succeeded = new Set<string>();
  const lost = new Set(ofType(events, "resultLost").map(({ task }) => task));
  for (const { unit, task, end, at } of ofType(events, "taskEnded")) {
    if (end !== "succeeded" || lost.has(task)) continue;
    if (succeeded.has(unit)) report(`${unit} succeeded twice`, at);
    succeeded.add(unit);
  }
  const everSucceeded = new Set(
    ofType(events, "taskEnded")
      .filter(({ end }) => end === "succeeded")
      .map(({ unit }) => unit),
  );
  const accepted = new Set(
    ofType(events, "jobAccepted").map(({ unit }) => unit),
  );
  for (const { unit, finish, at } of ofType(events, "jobFinal")) {
    if (accepted.has(unit) && finish === undefined)
      report(`${unit} never finished`, at);
    if (finish === "succeeded" && !everSucceeded.has(unit)) {
      report(
        `${unit} is recorded as succeeded, but no task of it succeeded`,
        at,
      );
    }
  }
  violations.push(...checkCheckpoints(events));
  return violations;
};

/** Checks that a start after a checkpoint resumes from the last checkpoint of its unit. */
const checkCheckpoints = (events: readonly HistoryEvent[]): Violation[] => {
  const last = new Map<string, string>();
  const lost = new Set(ofType(events, "resultLost").map(({ task }) => task));
  /** Last checkpoints of units that may or may not have been received. */
  const uncertain = new Map<string, string>();
  const violations: Violation[] = [];
  for (const event of events) {
    if (event.type === "taskEnded" && event.checkpoint !== undefined) {
      if (lost.has(event.task)) uncertain.set(event.unit, event.checkpoint);
      else last.set(event.unit, event.checkpoint);
    }
    if (event.type !== "taskStarted") continue;
    const expected = last.get(event.unit);
    const wasReceived =
      event.checkpoint !== undefined &&
      event.checkpoint === uncertain.get(event.unit);
    if (wasReceived) last.set(event.unit, event.checkpoint);
    if (wasReceived || event.checkpoint === expected) continue;
    const detail = `${event.task} resumed from ${event.checkpoint}, not ${expected}`;
    violations.push({ invariant: "resumes-once", detail, at: event.at });
  }
  return violations;
};

const checkOwnAnswer = (events: readonly HistoryEvent[]): Violation[] =>
  ofType(events, "requestAnswered")
    .filter(({ request, answerOf, whole }) => request !== answerOf || !whole)
    .map(({ request, answerOf, at }) => ({
      invariant: "own-answer",
      detail: `${request} was answered with ${answerOf}`,
      at,
    }));

const checkNotRun = (events: readonly HistoryEvent[]): Violation[] => {
  const ran = new Set(
    ofType(events, "requestRan").map(({ request }) => request),
  );
  return ofType(events, "toldNotRun")
    .filter(({ request }) => ran.has(request))
    .map(({ request, at }) => ({
      invariant: "not-run",
      detail: `${request} ran`,
      at,
    }));
};

const checkAtMostOnce = (events: readonly HistoryEvent[]): Violation[] => {
  const seen = new Set<string>();
  const violations: Violation[] = [];
  for (const { key, at } of ofType(events, "requestRan")) {
    if (seen.has(key))
      violations.push({
        invariant: "at-most-once",
        detail: `${key} ran again`,
        at,
      });
    seen.add(key);
  }
  return violations;
};

const checkLeaving = (events: readonly HistoryEvent[]): Violation[] => {
  const leaving = new Map<string, number>();
  const violations: Violation[] = [];
  for (const event of events) {
    if (event.type === "hostLeaving") leaving.set(event.host, event.at);
    if (event.type !== "taskStarted" && event.type !== "requestRan") continue;
    const since = leaving.get(event.host);
    if (since === undefined || event.at <= since + LEAVING_GRACE_MS) continue;
    violations.push({
      invariant: "leaving",
      detail: `${event.host} received work`,
      at: event.at,
    });
  }
  return violations;
};

const checkPlannedStop = (events: readonly HistoryEvent[]): Violation[] =>
  ofType(events, "requestCut")
    .filter(({ plannedStop }) => plannedStop)
    .map(({ request, at }) => ({
      invariant: "planned-stop",
      detail: `${request} was cut`,
      at,
    }));

/**
 * Checks that accepted changes are based on the version that they name, that no process returns
 * to an older version, and that all processes end with the same value.
 */
const checkConfig = (events: readonly HistoryEvent[]): Violation[] => {
  const violations: Violation[] = [];
  const report = (detail: string, at: number): void => {
    violations.push({ invariant: "config", detail, at });
  };
  const latest = new Map<
    string,
    { readonly version: number; readonly value: number }
  >();
  const accepted = [...ofType(events, "configAccepted")].sort(
    (a, b) => a.version - b.version,
  );
  for (const { name, version, value, base, at } of accepted) {
    const before = latest.get(name)?.version ?? 0;
    if (before > base)
      report(
        `${name}: version ${version} was based on ${base}, not ${before}`,
        at,
      );
    latest.set(name, { version, value });
  }
  const seen = new Map<string, number>();
  for (const { process, version, at } of ofType(events, "configSeen")) {
    if (version < (seen.get(process) ?? 0))
      report(`${process} returned to version ${version}`, at);
    seen.set(process, version);
  }
  for (const { process, name, value, at } of ofType(events, "configFinal")) {
    const expected = latest.get(name)?.value;
    if (expected !== undefined && expected !== value)
      report(`${process} holds ${name}=${value}, not ${expected}`, at);
  }
  return violations;
};

const CHECKS = [
  checkCommitment,
  checkOnePlace,
  checkResumesOnce,
  checkOwnAnswer,
  checkNotRun,
  checkAtMostOnce,
  checkLeaving,
  checkPlannedStop,
  checkConfig,
] as const;

/** All violations, in the order of the invariants. */
export const checkHistory = (
  events: readonly HistoryEvent[],
): readonly Violation[] => CHECKS.flatMap((check) => check(events));
