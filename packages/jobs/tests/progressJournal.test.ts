/** What a refused write means for the other records of its batch. */

import { test } from "node:test";
import { expect } from "earl";
import { ManualClock, silentLogger } from "@rackspan/common";
import { JobRun, ProgressJournal } from "@rackspan/jobs";
import { StoreRefusedError } from "@rackspan/ports";
import { PROGRESS_KEYS, TopicWriter, TOPICS } from "@rackspan/state";
import { MemoryStore, plainJob } from "@rackspan/standins";

const JOB = "00000000000000aa";

const setUp = () => {
  const clock = new ManualClock();
  const store = new MemoryStore(clock);
  const writer = new TopicWriter({
    topic: TOPICS.progress,
    store,
    clock,
    logger: silentLogger,
    producer: "leader",
    epoch: 1,
    batchWindowMs: 2,
    retriesRefusedBatches: true,
  });
  const job = new JobRun(plainJob({ id: JOB, acceptedAt: 0 }));
  return { clock, store, writer, job };
};

// A job whose progress is persisted would otherwise be treated as if it were not, and its
// order would never be sent.
test("a refused record that is no job's progress does not reject the jobs of its batch", async () => {
  for (const isOneAppend of [false, true]) {
    const { clock, store, writer, job } = setUp();
    const write: TopicWriter["write"] = (record) => {
      if (record.key !== PROGRESS_KEYS.load) return writer.write(record);
      const refusal = new StoreRefusedError("the record is refused");
      return { persisted: Promise.reject(refusal), abandon: () => true };
    };
    const refusing = {
      limits: writer.limits,
      write,
      writeTogether: (records: Parameters<TopicWriter["writeTogether"]>[0]) =>
        records.map(write),
    };
    const journal = new ProgressJournal({
      writer: refusing as unknown as TopicWriter,
      clock,
      logger: silentLogger,
      batchWindowMs: 20,
    });
    journal.writeAlong({ key: PROGRESS_KEYS.load, value: Buffer.from("{}") });
    const persisted = isOneAppend
      ? journal.persistSoon(job)
      : journal.persist(job);
    await clock.advance(100);
    await persisted;
    const keys = store.recordsOf(TOPICS.progress).map(({ key }) => key);
    expect(keys).toEqual([JOB]);
  }
});
