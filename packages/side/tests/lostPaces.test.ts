/** Paces whose orders get no answer, and may be carried out late or never. */

import { test } from "node:test";
import { expect } from "earl";
import {
  brand,
  ManualClock,
  Metrics,
  silentLogger,
  type Epoch,
  type JobTaskId,
  type RunNumber,
  type WorkerInstance,
} from "@rackspan/common";
import {
  WorkerSilentError,
  type PaceOrder,
  type RunningTask,
  type TaskHost,
} from "@rackspan/ports";
import { Pacer } from "@rackspan/side";

const INSTANCE = brand<WorkerInstance>("w");
const EPOCH = brand<Epoch>(1);
const RUN = {
  task: brand<JobTaskId>("heavy"),
  run: brand<RunNumber>(1),
};
const TARGET_MS = 10;
const LOOK_MS = 250;

const row = (task: string, reading: number): RunningTask => ({
  task: brand<JobTaskId>(task),
  run: RUN.run,
  checkpoint: "",
  progressPercent: 100,
  reading,
});

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
  const clock = new ManualClock();
  const worker = new ForgetfulWorker();
  const pacer = new Pacer({
    host: worker as unknown as TaskHost,
    clock,
    logger: silentLogger,
    metrics: new Metrics(),
    tailGraceMs: 4_000,
    tailAim: 0.9,
  });
  pacer.describe(brand<JobTaskId>("server"), {
    kind: "serving",
    image: "web",
    tailTargetMs: TARGET_MS,
    milliCores: 4_000,
  });
  pacer.describe(RUN.task, {
    kind: "filling",
    image: "render",
    tailTargetMs: 0,
    milliCores: 4_000,
  });
  pacer.learn([{ serving: "web", filling: "render", weight: 0.2 }]);
  pacer.noteStarted(RUN);
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
  pacer.paceFirst({ ...RUN, ...first });
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
