/**
 * Admission control under more bulk work than a site can do, compared with accepting
 * everything in the same run.
 */

import { test } from "node:test";
import { expect } from "earl";
import {
  simulateAdmission,
  type AdmissionOptions,
  type AdmissionResult,
} from "./simulateAdmission.js";

const compare = async (options: Omit<AdmissionOptions, "refusesHopeless">) => ({
  today: await simulateAdmission({ ...options, refusesHopeless: false }),
  refusing: await simulateAdmission({ ...options, refusesHopeless: true }),
});

const servedCount = ({ outcomes }: AdmissionResult): number =>
  outcomes["in-time"] + outcomes.late;

test("at 3 times the bulk and 2 times the urgent arrivals, fewer callers wait in vain and as many jobs are served", async () => {
  for (const seed of [1, 2]) {
    const { today, refusing } = await compare({
      seed,
      bulkFactor: 3,
      urgentFactor: 2,
      tailShare: 0.03,
    });
    const before = today.bulk.outcomes;
    const after = refusing.bulk.outcomes;
    expect([before.lost, after.lost]).toEqual([0, 0]);
    expect(after["in-vain"] <= 0.6 * before["in-vain"]).toEqual(true);
    // Only jobs that would be of no use are refused.
    expect(servedCount(refusing.bulk) >= servedCount(today.bulk)).toEqual(true);
    expect(refusing.bulk.meanVainMs <= 0.7 * today.bulk.meanVainMs).toEqual(
      true,
    );
    // Refusals must not come at the cost of the largest jobs.
    expect(refusing.bulk.largestServed >= today.bulk.largestServed).toEqual(
      true,
    );
    // Urgent jobs have other queues' work behind them: none is refused or delayed.
    expect(refusing.urgent.outcomes).toEqual(today.urgent.outcomes);
    expect(refusing.bulk.servedAfterReturn > 0).toEqual(true);
  }
});

test("at 1.5 times the usual arrivals nearly nobody is refused, and the largest jobs are served", async () => {
  const { today, refusing } = await compare({
    seed: 2,
    bulkFactor: 1.5,
    urgentFactor: 1.5,
    tailShare: 0,
  });
  const { outcomes, largestServed, served } = refusing.bulk;
  expect(outcomes.lost).toEqual(0);
  expect(outcomes.refused <= 2).toEqual(true);
  // Nobody but those who were refused is worse off.
  expect(
    servedCount(refusing.bulk) + outcomes.refused >= servedCount(today.bulk),
  ).toEqual(true);
  expect(largestServed >= served / 2).toEqual(true);
  expect(refusing.urgent.outcomes).toEqual(today.urgent.outcomes);
});
