/** Appends to a slow store are not given up and repeated while it carries them out. */

import { test } from "node:test";
import { expect } from "earl";
import { ManualClock, silentLogger, sleep } from "@rackspan/common";
import { StoreAnswerLostError, type AppendRequest } from "@rackspan/ports";
import { MemoryStore } from "@rackspan/standins";
import { TopicWriter, TOPICS } from "@rackspan/state";

const RECORDS = 10;

/** Takes appends in turn, each in `appendMs`, also those whose callers gave up. */
class SlowStore {
  appendMs = 360;
  carriedOut = 0;
  /** The time that each append was given, in order. */
  readonly timeouts: number[] = [];
  private lastAppend: Promise<unknown> = Promise.resolve();

  constructor(
    private readonly clock: ManualClock,
    private readonly store: MemoryStore,
  ) {}

  append = (req: AppendRequest): Promise<number> => {
    this.timeouts.push(req.timeoutMs);
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
}

const setUp = () => {
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
    retriesRefusedBatches: true,
  });
  /** Writes one record after the other; @returns milliseconds taken. */
  const writeAll = async (count: number): Promise<number> => {
    const began = clock.monotonic();
    let endedAt = began;
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
    return endedAt - began;
  };
  return { memory, store, writeAll };
};

test("a slow store is sent each batch but the first once", async () => {
  const { memory, store, writeAll } = setUp();
  const tookMs = await writeAll(RECORDS);
  expect(store.carriedOut <= RECORDS + 1).toEqual(true);
  expect(tookMs <= 1.3 * RECORDS * store.appendMs).toEqual(true);
  expect(memory.recordsOf(TOPICS.jobs).length).toEqual(RECORDS);
});

test("a store that is quick again is given the usual time from the second batch on", async () => {
  const { store, writeAll } = setUp();
  const usualMs = 300;
  await writeAll(3);
  expect((store.timeouts.at(-1) as number) > store.appendMs).toEqual(true);
  store.appendMs = 4;
  await writeAll(2);
  expect(store.timeouts.at(-1)).toEqual(usualMs);
});
