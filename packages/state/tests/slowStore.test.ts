/**
 * Appends to a slow store must not time out and be repeated while
 * the store carries them out.
 */

import { test } from "node:test";
import { expect } from "earl";
import { ManualClock, silentLogger, sleep } from "@rackspan/common";
import {
  DEFAULT_RECORD_LIMITS,
  StoreAnswerLostError,
  type AppendRequest,
} from "@rackspan/ports";
import { MemoryStore } from "@rackspan/standins";
import { TopicWriter, TOPICS } from "@rackspan/state";

const RECORDS = 10;

const PART_MS = 100;

/**
 * Processes appends one by one, each in `appendMs`, including those
 * whose callers timed out.
 */
class SlowStore {
  readonly limits = DEFAULT_RECORD_LIMITS;
  appendMs = 360;
  /** Whether appends get on while they are sent, so that they do not time out. */
  sendsParts = false;
  carriedOut = 0;
  /** Time-out of each append, in order. */
  readonly timeouts: number[] = [];
  private lastAppend: Promise<unknown> = Promise.resolve();

  constructor(
    private readonly clock: ManualClock,
    private readonly store: MemoryStore,
  ) {}

  append = (req: AppendRequest): Promise<number> => {
    this.timeouts.push(req.timeoutMs);
    if (this.sendsParts) return this.appendInParts(req);
    const answer = this.lastAppend.then(async () => {
      await sleep(this.clock, this.appendMs);
      this.carriedOut += 1;
      return this.store.append(req);
    });
    this.lastAppend = answer.catch(() => undefined);
    const timedOut = sleep(this.clock, req.timeoutMs).then(() => {
      throw new StoreAnswerLostError("no answer in time");
    });
    timedOut.catch(() => undefined);
    return Promise.race([answer, timedOut]);
  };

  private async appendInParts(req: AppendRequest): Promise<number> {
    for (let ms = 0; ms < this.appendMs; ms += PART_MS) {
      await sleep(this.clock, PART_MS);
      req.onProgress?.();
    }
    return this.store.append(req);
  }
}

const setUp = ({ retriesRefusedBatches = true } = {}) => {
  const clock = new ManualClock();
  const memory = new MemoryStore(clock);
  const store = new SlowStore(clock, memory);
  const writer = new TopicWriter({
    topic: TOPICS.jobs,
    store: store as unknown as MemoryStore,
    clock,
    logger: silentLogger,
    producer: "p",
    epoch: 1,
    batchWindowMs: 0,
    retriesRefusedBatches,
  });
  /** Writes the records one after the other; @returns milliseconds taken. */
  const writeAll = async (count: number): Promise<number> => {
    const startedAt = clock.monotonic();
    let endedAt = startedAt;
    let isDone = false;
    const all = (async () => {
      for (let n = 0; n < count; n += 1) {
        await writer.write({ key: `${n}`, value: Buffer.from("v") }).persisted;
      }
      endedAt = clock.monotonic();
      isDone = true;
    })();
    while (!isDone) await clock.advance(10);
    await all;
    return endedAt - startedAt;
  };
  return { memory, store, writer, clock, writeAll };
};

test("each batch after the first is sent to a slow store once", async () => {
  const { memory, store, writeAll } = setUp();
  const tookMs = await writeAll(RECORDS);
  expect(store.carriedOut <= RECORDS + 1).toEqual(true);
  expect(tookMs <= 1.3 * RECORDS * store.appendMs).toEqual(true);
  expect(memory.recordsOf(TOPICS.jobs).length).toEqual(RECORDS);
});

test("a store that has become fast again gets the usual time-out from the second batch on", async () => {
  const { store, writeAll } = setUp();
  const usualMs = 300;
  await writeAll(3);
  expect((store.timeouts.at(-1) as number) > store.appendMs).toEqual(true);
  store.appendMs = 4;
  await writeAll(2);
  expect(store.timeouts.at(-1)).toEqual(usualMs);
});

// A large append over a weak uplink was repeated with time-outs that were all too short.
test("the time-outs of a large append rise until the slowest link carries it", async () => {
  const { store, writer, clock, memory } = setUp();
  const neededMs = 6_000;
  store.append = async (req) => {
    store.timeouts.push(req.timeoutMs);
    await sleep(clock, Math.min(req.timeoutMs, neededMs));
    if (req.timeoutMs < neededMs) throw new StoreAnswerLostError("on its way");
    return memory.append(req);
  };
  const value = Buffer.alloc(200_000);
  const { persisted } = writer.write({ key: "large", value });
  let isDone = false;
  void persisted.then(() => (isDone = true));
  for (let at = 0; at < 3_000 && !isDone; at += 1) await clock.advance(10);
  expect(isDone).toEqual(true);
  expect(store.timeouts.slice(0, 4)).toEqual([300, 600, 1_200, 2_400]);
});

test("a batch whose parts are being sent does not count as stuck", async () => {
  const { store, writer, clock } = setUp({ retriesRefusedBatches: false });
  store.sendsParts = true;
  store.appendMs = 2_000;
  const large = writer.write({ key: "large", value: Buffer.alloc(200_000) });
  await clock.advance(1_500);
  const next = writer.write({ key: "next", value: Buffer.from("v") });
  expect(clock.monotonic() - (writer.inFlightSince ?? 0) < 500).toEqual(true);
  for (let at = 0; at < 1_000; at += 1) await clock.advance(10);
  await Promise.all([large.persisted, next.persisted]);
});
