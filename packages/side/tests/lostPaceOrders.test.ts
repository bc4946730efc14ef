/** Paces whose orders get no answer, and may be carried out late or never. */

import { test } from "node:test";
import { expect } from "earl";
import type { WorkerInstance } from "@rackspan/common";
import { WorkerSilentError, type PaceOrder } from "@rackspan/ports";
import {
  buildPacer,
  EPOCH,
  INSTANCE,
  LOOK_MS,
  row,
  runOf,
} from "./buildPacer.js";

const RUN = runOf("heavy");

/** A worker that lets the first orders to a run go unanswered, and carries them out later. */
class ForgetfulWorker {
  percent = 100;
  answers = true;
  /** Given up by the side; what is left of them is carried out by `catchUp`. */
  private late: PaceOrder[] = [];

  async pace(_: WorkerInstance, order: PaceOrder): Promise<void> {
    if (!this.answers) {
      this.late.push(order);
      throw new WorkerSilentError("no answer");
    }
    this.percent = order.percent;
  }

  catchUp(): void {
    for (const { percent } of this.late) this.percent = percent;
    this.late = [];
  }
}

const setUp = () => {
  const worker = new ForgetfulWorker();
  const { clock, pacer } = buildPacer({
    host: worker,
    fillingImages: { heavy: "render" },
  });
  pacer.updateDisturbances([
    { serving: "web", filling: "render", weight: 0.2 },
  ]);
  pacer.recordStarting(RUN);
  const look = async (tailMs: number) => {
    pacer.adjust(INSTANCE, EPOCH, [row("server", tailMs), row("heavy", 2_000)]);
    await clock.advance(LOOK_MS);
  };
  return { clock, worker, pacer, look };
};

// An order without an answer may be carried out after the one that follows it.
test("a pace that is carried out after a newer one does not stay in force", async () => {
  const { worker, look } = setUp();
  await look(2);
  await look(10.5);
  expect(worker.percent).toEqual(31);
  worker.answers = false;
  await look(5);
  worker.answers = true;
  await look(10.5);
  expect(worker.percent).toEqual(31);
  worker.catchUp();
  expect(worker.percent).toEqual(62);
  await look(9);
  expect(worker.percent).toEqual(31);
});

// An order may be lost before the worker lists its task.
test("a first pace whose order was lost is ordered again at the first look", async () => {
  const { clock, worker, pacer, look } = setUp();
  worker.answers = false;
  const first = { instance: INSTANCE, epoch: EPOCH, firstPercent: 30 };
  pacer.orderFirstPace({ ...RUN, ...first });
  await clock.advance(10);
  worker.answers = true;
  await look(9);
  expect(worker.percent).toEqual(30);
});

test("a pace is ordered once when its order is answered", async () => {
  const { worker, look } = setUp();
  await look(2);
  await look(10.5);
  worker.percent = 50;
  await look(9);
  await look(9);
  expect(worker.percent).toEqual(50);
});

test("an order that got no answer is not repeated for ever", async () => {
  const { clock, worker, look } = setUp();
  await look(2);
  worker.answers = false;
  await look(10.5);
  worker.answers = true;
  await look(9);
  expect(worker.percent).toEqual(31);
  await clock.advance(10_000);
  await look(9);
  worker.percent = 50;
  await look(9);
  expect(worker.percent).toEqual(50);
});
