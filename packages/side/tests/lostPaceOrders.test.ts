/** Pace orders without an answer may be carried out late or never, and must then be repeated. */

import { test } from "node:test";
import { expect } from "earl";
import type { WorkerInstance } from "@rackspan/common";
import { WorkerSilentError, type PaceOrder } from "@rackspan/ports";
import {
  buildPacer,
  EPOCH,
  INSTANCE,
  POLL_INTERVAL_MS,
  row,
  runOf,
} from "./buildPacer.js";

const RUN = runOf("heavy");

/** A worker that can leave orders unanswered and carry them out later. */
class LateWorker {
  percent = 100;
  answers = true;
  /** Orders that timed out at the side; `carryOutLate` carries them out. */
  private lateOrders: PaceOrder[] = [];

  async pace(_: WorkerInstance, order: PaceOrder): Promise<void> {
    if (!this.answers) {
      this.lateOrders.push(order);
      throw new WorkerSilentError("no answer");
    }
    this.percent = order.percent;
  }

  carryOutLate(): void {
    for (const { percent } of this.lateOrders) this.percent = percent;
    this.lateOrders = [];
  }
}

const setUp = () => {
  const worker = new LateWorker();
  const { clock, pacer } = buildPacer({
    host: worker,
    fillingImages: { heavy: "render" },
  });
  pacer.updateDisturbances([
    { serving: "web", filling: "render", weight: 0.2 },
  ]);
  pacer.recordStarting(RUN);
  const poll = async (tailMs: number) => {
    pacer.adjust(INSTANCE, EPOCH, [row("server", tailMs), row("heavy", 2_000)]);
    await clock.advance(POLL_INTERVAL_MS);
  };
  return { clock, worker, pacer, poll };
};

// An order without an answer may be carried out after the next one.
test("a pace that is carried out after a newer one does not stay in force", async () => {
  const { worker, poll } = setUp();
  await poll(2);
  await poll(10.5);
  expect(worker.percent).toEqual(31);
  worker.answers = false;
  await poll(5);
  worker.answers = true;
  await poll(10.5);
  expect(worker.percent).toEqual(31);
  worker.carryOutLate();
  expect(worker.percent).toEqual(62);
  await poll(9);
  expect(worker.percent).toEqual(31);
});

// An order may be lost before the worker lists its task.
test("a first pace whose order was lost is ordered again at the first poll", async () => {
  const { clock, worker, pacer, poll } = setUp();
  worker.answers = false;
  const first = { instance: INSTANCE, epoch: EPOCH, firstPercent: 30 };
  pacer.orderFirstPace({ ...RUN, ...first });
  await clock.advance(10);
  worker.answers = true;
  await poll(9);
  expect(worker.percent).toEqual(30);
});

test("a pace whose order is answered is ordered once", async () => {
  const { worker, poll } = setUp();
  await poll(2);
  await poll(10.5);
  worker.percent = 50;
  await poll(9);
  await poll(9);
  expect(worker.percent).toEqual(50);
});

test("an order without an answer is not repeated forever", async () => {
  const { clock, worker, poll } = setUp();
  await poll(2);
  worker.answers = false;
  await poll(10.5);
  worker.answers = true;
  await poll(9);
  expect(worker.percent).toEqual(31);
  await clock.advance(10_000);
  await poll(9);
  worker.percent = 50;
  await poll(9);
  expect(worker.percent).toEqual(50);
});
