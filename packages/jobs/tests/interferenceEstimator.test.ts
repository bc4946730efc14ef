import { test } from "node:test";
import { expect } from "earl";
import { brand, SeededRandom } from "@rackspan/common";
import { InterferenceEstimator, TAIL_MODEL } from "@rackspan/jobs";
import type { ImageName } from "@rackspan/state";

const image = (name: string): ImageName => brand<ImageName>(name);
const WEB = image("web");
/** Interval between the readings of an image that has tasks on five hosts, milliseconds. */
const READ_EVERY_MS = 100;
const TRUE_WEIGHTS = new Map([
  [image("render"), 0.2],
  [image("index"), 0],
]);

/** Feeds readings of a tail that follows the true weights, with noise of up to a tenth. */
const train = (estimator: InterferenceEstimator, readings: number): void => {
  const random = new SeededRandom(7);
  for (let at = 0; at < readings; at += 1) {
    const colocatedCores = new Map(
      [...TRUE_WEIGHTS.keys()].map((name) => [name, random.next() * 6]),
    );
    let tail = TAIL_MODEL.initialBase;
    for (const [name, cores] of colocatedCores) {
      tail += (TRUE_WEIGHTS.get(name) ?? 0) * cores;
    }
    const noise = 0.2 * (random.next() - 0.5);
    estimator.learn(WEB, {
      at: at * READ_EVERY_MS,
      tail: tail + noise,
      taskCount: 1,
      colocatedCores,
    });
  }
};

test("a pair of images that interferes is distinguished from one that does not", () => {
  const estimator = new InterferenceEstimator();
  train(estimator, 200);
  expect(estimator.weight(WEB, image("render")) > 0.15).toEqual(true);
  expect(estimator.weight(WEB, image("index")) < 0.03).toEqual(true);
});

test("weights stay within their bounds for any readings", () => {
  const estimator = new InterferenceEstimator();
  const colocatedCores = new Map([[image("render"), 3]]);
  for (const [at, tail] of [20, -20, -700, 20, 4].entries()) {
    estimator.learn(WEB, {
      at: at * READ_EVERY_MS,
      tail,
      taskCount: 1,
      colocatedCores,
    });
    const weight = estimator.weight(WEB, image("render"));
    expect(weight >= 0 && weight <= TAIL_MODEL.maxWeight).toEqual(true);
  }
});

test("readings without filling tasks change only the base", () => {
  const estimator = new InterferenceEstimator();
  const reading = {
    tail: Math.log(0.7),
    taskCount: 1,
    colocatedCores: new Map(),
  };
  for (let at = 0; at < 200; at += 1)
    estimator.learn(WEB, { ...reading, at: at * READ_EVERY_MS });
  const undisturbed = Math.exp(estimator.predict(WEB, new Map()));
  expect(Math.abs(undisturbed - 0.7) < 0.02).toEqual(true);
  expect(estimator.weight(WEB, image("render"))).toEqual(
    TAIL_MODEL.initialWeight,
  );
});

test("an image that only ran beside an interfering one soon loses its weight", () => {
  const estimator = new InterferenceEstimator();
  const [render, index] = [image("render"), image("index")];
  const both = new Map([
    [render, 4],
    [index, 4],
  ]);
  const tailOf = (colocatedCores: ReadonlyMap<ImageName, number>): number =>
    TAIL_MODEL.initialBase + 0.2 * (colocatedCores.get(render) ?? 0);
  const learn = (
    at: number,
    colocatedCores: ReadonlyMap<ImageName, number>,
  ): void =>
    estimator.learn(WEB, {
      at: at * READ_EVERY_MS,
      tail: tailOf(colocatedCores),
      taskCount: 1,
      colocatedCores,
    });
  for (let at = 0; at < 10; at += 1) learn(at, both);
  for (let at = 10; at < 20; at += 1) learn(at, new Map([[index, 4]]));
  expect(estimator.weight(WEB, index) < 0.03).toEqual(true);
  // The weight moves from one image to the other without another reading of the latter.
  expect(estimator.weight(WEB, render) > 0.15).toEqual(true);
});

test("the least recently seen image is evicted when there are too many", () => {
  const estimator = new InterferenceEstimator();
  let readings = 0;
  const read = (tail: number, colocatedCores: Map<ImageName, number>): void =>
    estimator.learn(WEB, {
      at: (readings += 1) * READ_EVERY_MS,
      tail,
      taskCount: 1,
      colocatedCores,
    });
  // One reading without the image and one with it separate its weight from the base.
  const trainOne = (name: string): void => {
    read(TAIL_MODEL.initialBase, new Map());
    read(0.5, new Map([[image(name), 3]]));
  };
  for (let at = 0; at < 5; at += 1) trainOne("first");
  expect(estimator.weight(WEB, image("first")) > 0.1).toEqual(true);
  for (let at = 0; at < TAIL_MODEL.maxImages; at += 1) trainOne(`image${at}`);
  expect(estimator.weight(WEB, image("first"))).toEqual(
    TAIL_MODEL.initialWeight,
  );
  expect(estimator.weight(WEB, image("image0")) > 0.05).toEqual(true);
});

test("estimates stay finite over hours of readings", () => {
  const estimator = new InterferenceEstimator();
  const random = new SeededRandom(11);
  const images = Array.from({ length: 9 }, (_, at) => image(`image${at}`));
  for (let at = 0; at < 200_000; at += 1) {
    const colocatedCores = new Map(
      images
        .filter(() => random.next() < 0.4)
        .map((name) => [name, random.next() * 20]),
    );
    const tail = 4 * (random.next() - 0.5);
    const taskCount = 1 + Math.floor(random.next() * 5);
    estimator.learn(WEB, {
      at: at * READ_EVERY_MS,
      tail,
      taskCount,
      colocatedCores,
    });
  }
  for (const name of images) {
    const weight = estimator.weight(WEB, name);
    expect(weight >= 0 && weight <= TAIL_MODEL.maxWeight).toEqual(true);
  }
  expect(Math.abs(estimator.predict(WEB, new Map())) < 2).toEqual(true);
});

test("a swinging load is not attributed to the tasks that run at the same time", () => {
  const estimator = new InterferenceEstimator();
  const [render, index] = [image("render"), image("index")];
  const random = new SeededRandom(3);
  const swingMs = 14_000;
  for (let at = 0; at < 30_000; at += READ_EVERY_MS) {
    const load = 0.45 * Math.sin((2 * Math.PI * at) / swingMs);
    // The harmless image happens to run while the load is high.
    const colocatedCores = new Map([
      [render, random.next() < 0.5 ? 3 : 0],
      [index, load > 0 ? 4 : 0],
    ]);
    const disturbed = 0.2 * (colocatedCores.get(render) ?? 0);
    const noise = 0.5 * (random.next() - 0.5);
    const tail = TAIL_MODEL.initialBase + load + disturbed + noise;
    estimator.learn(WEB, { at, tail, taskCount: 4, colocatedCores });
  }
  expect(Math.abs(estimator.weight(WEB, render) - 0.2) < 0.04).toEqual(true);
  expect(estimator.weight(WEB, index) < 0.06).toEqual(true);
});

test("a learned model is restored by the next leader, and its record is taken only once", () => {
  const estimator = new InterferenceEstimator();
  train(estimator, 200);
  const [record] = estimator.takeChanged(1_000);
  if (!record) throw new Error("no record was returned");
  expect(estimator.takeChanged(2_000)).toEqual([]);
  const next = new InterferenceEstimator();
  expect(next.restore(record, 500)).toEqual(true);
  const render = image("render");
  const lost = next.weight(WEB, render) - estimator.weight(WEB, render);
  expect(Math.abs(lost) < 1e-5).toEqual(true);
  // The model that this leader already has is newer.
  expect(next.restore({ ...record, mean: [0, 0, 0] }, 500)).toEqual(false);
  train(next, 20);
  expect(next.weight(WEB, render) > 0.15).toEqual(true);
});

test("a record whose parts do not match in size is not restored", () => {
  const estimator = new InterferenceEstimator();
  train(estimator, 20);
  const [record] = estimator.takeChanged(1_000);
  if (!record) throw new Error("no record was returned");
  for (const broken of [
    { ...record, mean: record.mean.slice(1) },
    { ...record, covariance: record.covariance.map((row) => [...row, 0]) },
    { ...record, filling: [...record.filling, image("more")] },
  ]) {
    const next = new InterferenceEstimator();
    expect(next.restore(broken, 0)).toEqual(false);
    expect(next.weight(WEB, image("render"))).toEqual(TAIL_MODEL.initialWeight);
  }
});
