/** What callers learn about a job while one entry or several cannot reach the store. */

import { test } from "node:test";
import { expect } from "earl";
import { brand } from "@rackspan/common";
import { jobTermsOf, type PeerHandlers } from "@rackspan/entry";
import { TOPICS, type QueueKey } from "@rackspan/state";
import {
  ForwardingSite,
  QUEUE,
  QUEUE_KEY,
  specOf,
  type PeerLink,
  type SiteEntry,
} from "./createForwardingSite.js";

const CALLER_MS = 3_000;
const { id: JOB } = specOf(7);

/** Advances the clock until the request is answered. */
const settle = async <T>(
  { clock }: ForwardingSite,
  request: Promise<T>,
): Promise<T> => {
  let answer: { readonly outcome: T } | undefined;
  void request.then((outcome) => (answer = { outcome }));
  for (let ms = 0; !answer && ms < 2 * CALLER_MS; ms += 2)
    await clock.advance(2);
  if (!answer) throw new Error("the request was not answered");
  return answer.outcome;
};

const queryState = (site: ForwardingSite, { forwarding }: SiteEntry) =>
  forwarding.state(QUEUE_KEY, JOB, site.clock.monotonic() + CALLER_MS);

for (const link of ["refused", "silent"] as const) {
  // The own view lacks the job, and the caller would take it for one that is gone.
  test(`a job accepted through an entry that is then unreachable does not count as missing (${link})`, async () => {
    for (let ms = 0; ms <= 1_600; ms += 100) {
      const site = await ForwardingSite.create(2);
      const entry = site.entry(1);
      entry.linkedStore.link = link;
      await site.clock.advance(ms);
      const { kind } = await settle(site, entry.submit(7));
      site.entry(0).peerLink = "unreachable";
      const state = await settle(site, queryState(site, entry));
      expect([ms, kind]).toEqual([ms, "accepted"]);
      expect([ms, state.kind]).not.toEqual([ms, "no-such-job"]);
      await site.stop();
    }
  });
}

test("state queries beyond the bound of those in flight do not report an accepted job missing", async () => {
  for (let ms = 0; ms <= 1_600; ms += 100) {
    const site = await ForwardingSite.create(2);
    const entry = site.entry(1);
    entry.linkedStore.link = "refused";
    await site.clock.advance(ms);
    expect((await settle(site, entry.submit(7))).kind).toEqual("accepted");
    const queries = Array.from({ length: 40 }, () => queryState(site, entry));
    const states = await settle(site, Promise.all(queries));
    const missing = states.filter(({ kind }) => kind === "no-such-job");
    expect([ms, missing.length]).toEqual([ms, 0]);
    await site.stop();
  }
});

test("an entry whose store has fallen silent does not report another entry's job missing", async () => {
  for (let ms = 0; ms <= 1_600; ms += 100) {
    const site = await ForwardingSite.create(2);
    await site.clock.advance(ms);
    const entry = site.entry(1);
    site.entry(0).linkedStore.link = "silent";
    await site.clock.advance(1_200);
    expect((await settle(site, entry.submit(7))).kind).toEqual("accepted");
    entry.linkedStore.link = "refused";
    // Two refused calls confirm the outage.
    const other = entry.submit(8, 400);
    await site.clock.advance(320);
    const state = await settle(site, queryState(site, entry));
    expect([ms, state.kind]).not.toEqual([ms, "no-such-job"]);
    await settle(site, other);
    await site.stop();
  }
});

// The entry that asks may lack the job, so that only this answer counts.
test("a query of another entry is not answered from a view read before it arrived", async () => {
  for (let ms = 0; ms <= 1_600; ms += 100) {
    const site = await ForwardingSite.create(3);
    const serving = site.entry(0);
    await site.clock.advance(ms);
    serving.linkedStore.link = "silent";
    await site.clock.advance(1_200);
    const submitted = await settle(site, site.entry(2).submit(7));
    expect(submitted.kind).toEqual("accepted");
    const request = { kind: "state", queue: QUEUE_KEY, job: JOB } as const;
    const call = { request, remainingMs: CALLER_MS };
    const answer = serving.handler.handlers.forward(call);
    const { kind } = await settle(site, Promise.resolve(answer));
    expect([ms, kind]).not.toEqual([ms, "no-such-job"]);
    await site.stop();
  }
});

/** A site whose `entry-1` has accepted the job, and then lost the store. */
const withKnownJob = async (peerLink: PeerLink): Promise<ForwardingSite> => {
  const site = await ForwardingSite.create(2);
  const entry = site.entry(1);
  expect((await settle(site, entry.submit(7))).kind).toEqual("accepted");
  entry.linkedStore.link = "refused";
  await site.clock.advance(1_850);
  site.entry(0).peerLink = peerLink;
  return site;
};

for (const link of ["loses-answers", "ends-in-between"] as const) {
  // Passed on, they would be answered 504 and 503 after up to the caller's whole time.
  test(`a repeated submission and a query of a job in the own view are answered here (${link})`, async () => {
    const site = await withKnownJob(link);
    const entry = site.entry(1);
    const startedAt = site.clock.monotonic();
    expect(await settle(site, entry.submit(7))).toEqual({ kind: "accepted" });
    const state = await settle(site, queryState(site, entry));
    expect(state).toEqual({ kind: "known", state: "queued" });
    expect(site.clock.monotonic() - startedAt <= 10).toEqual(true);
    expect(site.entry(0).served).toEqual(0);
    await site.stop();
  });
}

// The other entry may not have read the job yet, and would replace its record.
test("a submission with the id of a job of another queue is refused here", async () => {
  const site = await withKnownJob("up");
  const queue = brand<QueueKey>("other");
  const submission = site
    .entry(1)
    .forwarding.submit(
      { ...QUEUE, key: queue },
      { ...specOf(7), queue },
      site.clock.monotonic() + CALLER_MS,
    );
  const outcome = await settle(site, submission);
  expect(outcome.kind === "refused" && outcome.reason).toEqual(
    "the id belongs to a job of another queue",
  );
  expect(site.entry(0).served).toEqual(0);
  await site.stop();
});

const cancel = (site: ForwardingSite) =>
  site
    .entry(1)
    .forwarding.cancel(QUEUE_KEY, JOB, site.clock.monotonic() + CALLER_MS);

test("the cancel of a job that has ended is accepted here", async () => {
  const site = await withKnownJob("loses-answers");
  site.entry(1).own.view.addCancel(JOB, site.clock.now());
  expect(await settle(site, cancel(site))).toEqual({ kind: "accepted" });
  expect(site.entry(0).served).toEqual(0);
  await site.stop();
});

// It has to be persisted.
test("the cancel of a job that has not ended is passed on although the view contains it", async () => {
  const site = await withKnownJob("up");
  expect(await settle(site, cancel(site))).toEqual({ kind: "accepted" });
  expect(site.store.recordsOf(TOPICS.cancels).length).toEqual(1);
  await site.stop();
});

// Such a job may have been accepted here while the query was under way.
test("no-such-job of another entry does not override a view that contains the job", async () => {
  const site = await ForwardingSite.create(2);
  const entry = site.entry(1);
  entry.linkedStore.link = "refused";
  await site.clock.advance(1_600);
  const { handlers } = site.entry(0).handler;
  (handlers as { forward: PeerHandlers["forward"] }).forward = () => {
    const accepted = {
      spec: specOf(7),
      acceptedAt: 0,
      terms: jobTermsOf(QUEUE),
    };
    entry.own.view.addAccepted(accepted);
    return { kind: "no-such-job" };
  };
  const state = await settle(site, queryState(site, entry));
  expect(state).toEqual({ kind: "known", state: "queued" });
  expect(site.entry(0).served).toEqual(1);
  await site.stop();
});
