/**
 * What callers are answered while links to the store and between entries change at
 * random. Checked against the records of the store; a failed check names its seed.
 */

import { test } from "node:test";
import { expect } from "earl";
import { SeededRandom } from "@rackspan/common";
import { TOPICS } from "@rackspan/state";
import {
  ForwardingSite,
  QUEUE_KEY,
  specOf,
  type PeerLink,
  type StoreLink,
} from "./createForwardingSite.js";

const SEEDS = 120;
const ENTRIES = 4;
const SUBMISSIONS = 60;
/** Chance per submission that a link to the store changes, and that one between entries does. */
const CHANGE_CHANCE = 0.08;
const STORE_LINKS: readonly StoreLink[] = [
  "up",
  "refused",
  "silent",
  "unheard",
];
const PEER_LINKS: readonly PeerLink[] = [
  "up",
  "up",
  "unreachable",
  "loses-answers",
  "ends-in-between",
];

/** The answers to the requests for one job; undefined until a request is answered. */
interface JobAnswers {
  readonly n: number;
  submit?: string;
  followUp?: "cancel" | "state";
  cancel?: string;
  state?: string;
}

/** Submits jobs at all entries; of those accepted, half are cancelled and half queried. */
const submitAll = async (
  site: ForwardingSite,
  seed: number,
): Promise<JobAnswers[]> => {
  const { clock } = site;
  const random = new SeededRandom(seed);
  const pick = <T>(values: readonly T[]): T =>
    values[Math.floor(random.next() * values.length)] as T;
  const jobs: JobAnswers[] = [];
  const submit = async (job: JobAnswers): Promise<void> => {
    const entry = pick(site.entries);
    const { id } = specOf(job.n);
    const timeMs = 1_000 + 2_000 * random.next();
    job.submit = (await entry.submit(job.n, timeMs)).kind;
    if (job.submit !== "accepted") return;
    job.followUp = pick(["cancel", "state"]);
    const at = job.followUp === "cancel" ? pick(site.entries) : entry;
    const deadline = clock.monotonic() + 2_000;
    const answer = at.forwarding[job.followUp](QUEUE_KEY, id, deadline);
    job[job.followUp] = (await answer).kind;
  };
  for (let n = 0; n < SUBMISSIONS; n += 1) {
    if (random.next() < CHANGE_CHANCE)
      pick(site.entries).linkedStore.link = pick(STORE_LINKS);
    if (random.next() < CHANGE_CHANCE)
      pick(site.entries).peerLink = pick(PEER_LINKS);
    const job: JobAnswers = { n };
    jobs.push(job);
    void submit(job);
    await clock.advance(30 + 40 * random.next());
  }
  await clock.advance(5_500);
  return jobs;
};

/** Restores all links, and waits until writes that are repeated have been persisted. */
const restoreLinks = async ({ entries, clock }: ForwardingSite) => {
  for (const entry of entries) {
    entry.linkedStore.link = "up";
    entry.peerLink = "up";
  }
  await clock.advance(9_000);
};

/** The answers that contradict the records of the store. */
const findFaults = (
  { store }: ForwardingSite,
  jobs: readonly JobAnswers[],
): string[] => {
  const keysOf = (topic: (typeof TOPICS)["jobs" | "cancels"]) =>
    new Set(store.recordsOf(topic).map(({ key }) => key));
  const stored = keysOf(TOPICS.jobs);
  const cancelled = keysOf(TOPICS.cancels);
  return jobs.flatMap(({ n, submit, followUp, cancel, state }) => {
    const key = String(specOf(n).id);
    const cancelConfirmed = cancel === "accepted" || cancel === "no-such-job";
    const faults = {
      "submission not answered": submit === undefined,
      "refused, but stored": submit === "refused" && stored.has(key),
      "accepted, but not stored": submit === "accepted" && !stored.has(key),
      "cancel not answered": followUp === "cancel" && !cancel,
      "cancel confirmed, but not recorded":
        cancelConfirmed && !cancelled.has(key),
      "cancel refused, but recorded":
        cancel === "refused" && cancelled.has(key),
      "query not answered": followUp === "state" && !state,
      "accepted, but reported missing": state === "no-such-job",
    };
    return Object.entries(faults)
      .filter(([, isFault]) => isFault)
      .map(([fault]) => `job ${n}: ${fault}`);
  });
};

test("answers agree with the store while links to it and between entries change", async (t) => {
  const faults: string[] = [];
  const counts: Record<string, number> = {};
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const site = await ForwardingSite.create(ENTRIES);
    const jobs = await submitAll(site, seed);
    await restoreLinks(site);
    faults.push(
      ...findFaults(site, jobs).map((fault) => `seed ${seed}, ${fault}`),
    );
    for (const { submit, cancel, state } of jobs)
      for (const [request, answer] of Object.entries({ submit, cancel, state }))
        if (answer)
          counts[`${request} ${answer}`] =
            (counts[`${request} ${answer}`] ?? 0) + 1;
    await site.stop();
  }
  t.diagnostic(JSON.stringify(counts));
  expect(faults).toEqual([]);
  // The links must fail often enough for the checks to mean something.
  for (const answer of ["accepted", "refused", "unknown"])
    expect((counts[`submit ${answer}`] ?? 0) >= 50).toEqual(true);
});
