/** What callers of an entry without the store are answered, one test per failure. */

import { test } from "node:test";
import { expect } from "earl";
import { brand } from "@rackspan/common";
import { FORWARD, jobTermsOf } from "@rackspan/entry";
import { encodeJob, TOPICS, type QueueKey } from "@rackspan/state";
import {
  ForwardingSite,
  QUEUE,
  QUEUE_KEY,
  specOf,
  type StoreLink,
} from "./createForwardingSite.js";

/** Runs a test in which `entry-1` has been without the store for the given time. */
const withCutOffEntry = async (
  count: number,
  link: StoreLink,
  afterMs: number,
  run: (site: ForwardingSite) => Promise<void>,
): Promise<void> => {
  const site = await ForwardingSite.create(count);
  site.entry(1).linkedStore.link = link;
  await site.clock.advance(afterMs);
  await run(site);
  await site.stop();
};

const jobsIn = ({ store }: ForwardingSite): string[] =>
  store.recordsOf(TOPICS.jobs).map(({ key }) => key);

/** The outcome of a request, and how long it took. */
const settle = async <T>(
  { clock }: ForwardingSite,
  request: Promise<T>,
  withinMs = 3_000,
): Promise<T & { tookMs: number }> => {
  const startedAt = clock.monotonic();
  const timed = request.then((outcome) => ({
    ...outcome,
    tookMs: clock.monotonic() - startedAt,
  }));
  await clock.advance(withinMs);
  return timed;
};

for (const link of ["refused", "silent", "unheard"] as const) {
  test(`a submission is accepted while the store's calls of the entry are ${link}`, async () => {
    await withCutOffEntry(3, link, 0, async (site) => {
      const outcome = await settle(site, site.entry(1).submit(7));
      expect(outcome.kind).toEqual("accepted");
      // A write times out after 300 ms, and the outage is confirmed 100 ms later.
      expect(outcome.tookMs <= 500).toEqual(true);
      expect(new Set(jobsIn(site))).toEqual(new Set([String(specOf(7).id)]));
    });
  });
}

for (const { latencyMs, passesOn } of [
  { latencyMs: 200, passesOn: false },
  { latencyMs: 350, passesOn: true },
]) {
  // Writes time out after 300 ms at first; above, an answer late by 50 ms is a lost one.
  test(`submissions are accepted by a store that takes ${latencyMs} ms, passed on or not`, async () => {
    await withCutOffEntry(3, "up", 0, async (site) => {
      for (const { linkedStore } of site.entries)
        linkedStore.latencyMs = latencyMs;
      const requests = [];
      for (let n = 0; n < 100; n += 1) {
        requests.push(site.entry(1).submit(n));
        await site.clock.advance(50);
      }
      await site.clock.advance(3_000);
      const kinds = (await Promise.all(requests)).map(({ kind }) => kind);
      expect(new Set(kinds)).toEqual(new Set(["accepted"]));
      expect(new Set(jobsIn(site)).size).toEqual(100);
      const served = site.entries.map((entry) => entry.served);
      expect(served.some((count) => count > 0)).toEqual(passesOn);
    });
  });
}

test("state queries and cancels are passed on, too", async () => {
  await withCutOffEntry(3, "refused", 1_000, async (site) => {
    const { forwarding } = site.entry(1);
    expect((await settle(site, site.entry(1).submit(7), 50)).kind).toEqual(
      "accepted",
    );
    const { id } = specOf(7);
    const deadline = () => site.clock.monotonic() + 3_000;
    const state = forwarding.state(QUEUE_KEY, id, deadline());
    await settle(site, state, 50);
    expect(await state).toEqual({ kind: "known", state: "queued" });
    const cancel = forwarding.cancel(QUEUE_KEY, id, deadline());
    expect((await settle(site, cancel, 50)).kind).toEqual("accepted");
    expect(site.store.recordsOf(TOPICS.cancels).length).toEqual(1);
  });
});

test("nothing is passed on while the store answers", async () => {
  await withCutOffEntry(3, "up", 0, async (site) => {
    const outcome = await settle(site, site.entry(1).submit(7));
    expect(outcome.kind).toEqual("accepted");
    expect(site.entries.map(({ served }) => served)).toEqual([0, 0, 0]);
  });
});

test("a submission whose answer is lost after it was passed on is unknown, not refused", async () => {
  await withCutOffEntry(2, "refused", 1_000, async (site) => {
    site.entry(0).peerLink = "loses-answers";
    const outcome = await settle(site, site.entry(1).submit(7));
    expect(outcome.kind).toEqual("unknown");
    // It was accepted, so a refusal would have been false.
    expect(jobsIn(site)).toEqual([String(specOf(7).id)]);
  });
});

test("a submission is unknown if the other entry ends while it carries it out", async () => {
  await withCutOffEntry(2, "refused", 1_000, async (site) => {
    site.entry(0).peerLink = "ends-in-between";
    const outcome = await settle(site, site.entry(1).submit(7));
    expect(outcome.kind).toEqual("unknown");
  });
});

test("a submission that could not be sent to one entry is sent to another", async () => {
  await withCutOffEntry(4, "refused", 1_000, async (site) => {
    site.entry(0).peerLink = "unreachable";
    site.entry(2).peerLink = "unreachable";
    const outcome = await settle(site, site.entry(1).submit(7));
    expect(outcome.kind).toEqual("accepted");
    expect(outcome.tookMs <= 50).toEqual(true);
  });
});

test("a submission that certainly was not sent is refused, and the job never exists", async () => {
  await withCutOffEntry(2, "refused", 1_000, async (site) => {
    site.entry(0).peerLink = "unreachable";
    const outcome = await settle(site, site.entry(1).submit(7));
    expect(outcome.kind).toEqual("refused");
    site.entry(1).linkedStore.link = "up";
    await site.clock.advance(5_000);
    expect(jobsIn(site)).toEqual([]);
  });
});

test("a submission goes to a third entry if the second is cut off as well", async () => {
  await withCutOffEntry(3, "refused", 0, async (site) => {
    site.entry(0).linkedStore.link = "refused";
    await site.clock.advance(300);
    const outcome = await settle(site, site.entry(1).submit(7));
    expect(outcome.kind).toEqual("accepted");
    expect(site.entry(2).served).toEqual(1);
  });
});

test("two entries without the store do not send a submission back and forth", async () => {
  await withCutOffEntry(2, "refused", 0, async (site) => {
    site.entry(0).linkedStore.link = "refused";
    await site.clock.advance(300);
    const outcome = await settle(site, site.entry(1).submit(7));
    expect(outcome.kind).toEqual("refused");
    expect(site.entry(0).served <= 1).toEqual(true);
    expect(site.entry(1).served).toEqual(0);
    expect(jobsIn(site)).toEqual([]);
  });
});

// Otherwise it would retry for a third of the time, which is then missing elsewhere.
test("an entry without the store refuses requests of other entries at once", async () => {
  await withCutOffEntry(2, "refused", 2_000, async (site) => {
    const { handlers } = site.entry(1).handler;
    const spec = specOf(7);
    const job = { spec, acceptedAt: 0, terms: jobTermsOf(QUEUE) };
    const record = encodeJob(job).toString("utf8");
    const ids = { queue: QUEUE_KEY, job: spec.id };
    const request = { kind: "submit", ...ids, record } as const;
    const answer = handlers.forward({ request, remainingMs: 3_000 });
    const outcome = await settle(site, Promise.resolve(answer), 50);
    expect(outcome.kind).toEqual("refused");
    expect(outcome.tookMs).toEqual(0);
  });
});

// The job would run in a queue whose terms it was not given.
test("a forwarded record of another queue is refused", async () => {
  await withCutOffEntry(2, "up", 0, async (site) => {
    const spec = { ...specOf(7), queue: brand<QueueKey>("other") };
    const job = { spec, acceptedAt: 0, terms: jobTermsOf(QUEUE) };
    const record = encodeJob(job).toString("utf8");
    const ids = { queue: QUEUE_KEY, job: spec.id };
    const request = { kind: "submit", ...ids, record } as const;
    const { handlers } = site.entry(0).handler;
    const answer = handlers.forward({ request, remainingMs: 3_000 });
    const outcome = await settle(site, Promise.resolve(answer));
    expect(outcome.kind).toEqual("refused");
    expect(jobsIn(site)).toEqual([]);
  });
});

test("a submission with too little time left is answered as without forwarding", async () => {
  await withCutOffEntry(2, "refused", 1_000, async (site) => {
    const outcome = await settle(site, site.entry(1).submit(7, 300));
    expect(outcome.kind).toEqual("refused");
    expect(site.entry(0).served).toEqual(0);
  });
});

test("nothing is passed on any more 3 s after the outage began", async () => {
  await withCutOffEntry(2, "refused", 4_600, async (site) => {
    const outcome = await settle(site, site.entry(1).submit(7));
    expect(outcome.kind).toEqual("refused");
    expect(site.entry(0).served).toEqual(0);
  });
});

test("of 100 submissions at once, 64 are passed on and the others refused", async () => {
  await withCutOffEntry(2, "refused", 1_000, async (site) => {
    const requests = Array.from({ length: 100 }, (_, n) =>
      site.entry(1).submit(n),
    );
    await site.clock.advance(3_000);
    const kinds = (await Promise.all(requests)).map(({ kind }) => kind);
    const accepted = kinds.filter((kind) => kind === "accepted").length;
    expect(site.entry(0).served).toEqual(FORWARD.maxInFlight);
    expect(accepted).toEqual(FORWARD.maxInFlight);
    expect(kinds.filter((kind) => kind === "refused").length).toEqual(36);
    expect(jobsIn(site).length).toEqual(64);
  });
});

test("an entry that passes nothing on itself knows the others from the leader's list", async () => {
  const site = await ForwardingSite.create(4);
  for (const { directory, name } of site.entries) {
    const known = directory.all().map(({ entry }) => String(entry));
    const others = site.entries.map((each) => each.name);
    expect(known.sort()).toEqual(others.filter((each) => each !== name));
  }
  await site.stop();
});
