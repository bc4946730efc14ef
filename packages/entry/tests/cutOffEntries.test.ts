/**
 * What callers experience while the store turns a third of the entries away for 9 s: the
 * same callers with and without forwarding, behind a balancer that takes an entry out
 * after two missed readiness checks.
 */

import { test } from "node:test";
import { expect } from "earl";
import { sleep } from "@rackspan/common";
import type { JobRequestOutcome } from "@rackspan/entry";
import { TOPICS } from "@rackspan/state";
import {
  ForwardingSite,
  QUEUE,
  specOf,
  type SiteEntry,
  type StoreLink,
} from "./createForwardingSite.js";

const ENTRIES = 6;
/** Includes the leader, which has the first number. */
const CUT_OFF = [0, 3];
const OUTAGE_MS = 9_000;
const CALLER = { timeMs: 3_000, retries: 4, everyMs: 50 };
const CHECK = { everyMs: 1_000, misses: 2 };

interface CallerResult {
  readonly outcome: JobRequestOutcome;
  readonly refusals: number;
  readonly unknowns: number;
  readonly tookMs: number;
}

/** Sends callers to the entries that have not missed two readiness checks. */
class Balancer {
  private next = 0;
  private readonly misses = new Map<SiteEntry, number>();

  constructor(private readonly site: ForwardingSite) {
    this.scheduleCheck();
  }

  pick(): SiteEntry {
    const { entries } = this.site;
    const live = entries.filter(
      (entry) => (this.misses.get(entry) ?? 0) < CHECK.misses,
    );
    this.next += 1;
    return (live[this.next % live.length] ?? entries[0]) as SiteEntry;
  }

  private scheduleCheck(): void {
    this.site.clock.after(CHECK.everyMs, () => {
      for (const entry of this.site.entries) {
        const { isStoreReachable } = entry.own.jobService;
        const missed = (this.misses.get(entry) ?? 0) + 1;
        this.misses.set(entry, isStoreReachable ? 0 : missed);
      }
      this.scheduleCheck();
    });
  }
}

const simulate = async (link: StoreLink, forwards: boolean) => {
  const site = await ForwardingSite.create(ENTRIES);
  const { clock, store } = site;
  const balancer = new Balancer(site);
  const submitJob = async (n: number): Promise<CallerResult> => {
    const startedAt = clock.monotonic();
    const deadline = startedAt + CALLER.timeMs;
    let refusals = 0;
    let unknowns = 0;
    for (let attempts = 0; ; attempts += 1) {
      const entry = balancer.pick();
      const service = forwards ? entry.forwarding : entry.own.jobService;
      const outcome = await service.submit(QUEUE, specOf(n), deadline);
      if (outcome.kind === "refused") refusals += 1;
      if (outcome.kind === "unknown") unknowns += 1;
      const now = clock.monotonic();
      const waitMs = outcome.kind === "refused" ? outcome.retryAfterMs : 0;
      const isOver =
        outcome.kind === "accepted" ||
        attempts === CALLER.retries ||
        now + waitMs >= deadline;
      if (isOver)
        return { outcome, refusals, unknowns, tookMs: now - startedAt };
      await sleep(clock, waitMs);
    }
  };
  for (const n of CUT_OFF) site.entry(n).linkedStore.link = link;
  const callers: Promise<CallerResult>[] = [];
  for (let at = 0; at < OUTAGE_MS; at += CALLER.everyMs) {
    callers.push(submitJob(callers.length));
    await clock.advance(CALLER.everyMs);
  }
  for (const n of CUT_OFF) site.entry(n).linkedStore.link = "up";
  await clock.advance(CALLER.timeMs + 3_000);
  const results = await Promise.all(callers);
  await site.stop();
  const stored = new Set(store.recordsOf(TOPICS.jobs).map(({ key }) => key));
  const took = results.map(({ tookMs }) => tookMs).sort((a, b) => a - b);
  results.forEach(({ outcome }, n) => {
    const isStored = stored.has(String(specOf(n).id));
    // No accepted job is lost.
    if (outcome.kind === "accepted") expect(isStored).toEqual(true);
    // A caller that met refusals only has no job.
    if (outcome.kind === "refused" && results[n]?.unknowns === 0)
      expect(isStored).toEqual(false);
  });
  return {
    callers: results.length,
    accepted: results.filter(({ outcome }) => outcome.kind === "accepted")
      .length,
    refusals: results.reduce((sum, each) => sum + each.refusals, 0),
    unknowns: results.reduce((sum, each) => sum + each.unknowns, 0),
    p99Ms: took[Math.floor(took.length * 0.99)] ?? 0,
  };
};

for (const link of ["refused", "silent"] as const) {
  test(`forwarding answers callers sooner while a third of the entries finds the store ${link}`, async (t) => {
    const before = await simulate(link, false);
    const after = await simulate(link, true);
    t.diagnostic(`without forwarding: ${JSON.stringify(before)}`);
    t.diagnostic(`with forwarding: ${JSON.stringify(after)}`);
    expect(after.accepted).toEqual(after.callers);
    expect(after.refusals + after.unknowns).toEqual(0);
    expect(before.refusals + before.unknowns > 0).toEqual(true);
    expect(after.p99Ms < before.p99Ms).toEqual(true);
  });
}
