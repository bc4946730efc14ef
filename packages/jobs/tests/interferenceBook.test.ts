import { test } from "node:test";
import { expect } from "earl";
import { brand, SeededRandom } from "@rackspan/common";
import { InterferenceBook, TAIL_MODEL } from "@rackspan/jobs";
import type { ImageName } from "@rackspan/state";

const image = (name: string): ImageName => brand<ImageName>(name);
const WEB = image("web");
const TRUE_WEIGHTS = new Map([
  [image("render"), 0.2],
  [image("index"), 0],
]);

/** Readings of a tail that the true weights give, with noise of a tenth. */
const teach = (book: InterferenceBook, readings: number): void => {
  const random = new SeededRandom(7);
  for (let at = 0; at < readings; at += 1) {
    const beside = new Map(
      [...TRUE_WEIGHTS.keys()].map((name) => [name, random.next() * 6]),
    );
    let tail = TAIL_MODEL.initialBase;
    for (const [name, cores] of beside) {
      tail += (TRUE_WEIGHTS.get(name) ?? 0) * cores;
    }
    const noise = 0.2 * (random.next() - 0.5);
    book.learn(WEB, { tail: tail + noise, tasks: 1, beside });
  }
};

test("a pair that disturbs is told from one that does not", () => {
  const book = new InterferenceBook();
  teach(book, 200);
  expect(book.weight(WEB, image("render")) > 0.15).toEqual(true);
  expect(book.weight(WEB, image("index")) < 0.03).toEqual(true);
});

test("weights stay within their bounds, whatever the readings are", () => {
  const book = new InterferenceBook();
  const beside = new Map([[image("render"), 3]]);
  for (const tail of [20, -20, -700, 20, 4]) {
    book.learn(WEB, { tail, tasks: 1, beside });
    const weight = book.weight(WEB, image("render"));
    expect(weight >= 0 && weight <= TAIL_MODEL.maxWeight).toEqual(true);
  }
});

test("readings without filling tasks move only the base", () => {
  const book = new InterferenceBook();
  const reading = { tail: Math.log(0.7), tasks: 1, beside: new Map() };
  for (let at = 0; at < 200; at += 1) book.learn(WEB, reading);
  const undisturbed = Math.exp(book.predict(WEB, new Map()));
  expect(Math.abs(undisturbed - 0.7) < 0.02).toEqual(true);
  expect(book.weight(WEB, image("render"))).toEqual(TAIL_MODEL.initialWeight);
});

test("an image that only stood beside the one that disturbs is not blamed for long", () => {
  const book = new InterferenceBook();
  const [render, index] = [image("render"), image("index")];
  const both = new Map([
    [render, 4],
    [index, 4],
  ]);
  const tailOf = (beside: ReadonlyMap<ImageName, number>): number =>
    TAIL_MODEL.initialBase + 0.2 * (beside.get(render) ?? 0);
  const learn = (beside: ReadonlyMap<ImageName, number>): void =>
    book.learn(WEB, { tail: tailOf(beside), tasks: 1, beside });
  for (let at = 0; at < 10; at += 1) learn(both);
  for (let at = 0; at < 10; at += 1) learn(new Map([[index, 4]]));
  expect(book.weight(WEB, index) < 0.03).toEqual(true);
  // What is taken from one is given to the other, without another look at it.
  expect(book.weight(WEB, render) > 0.15).toEqual(true);
});

test("the image not seen for longest is forgotten when there are too many", () => {
  const book = new InterferenceBook();
  const teachOne = (name: string): void =>
    book.learn(WEB, {
      tail: 0.5,
      tasks: 1,
      beside: new Map([[image(name), 3]]),
    });
  for (let at = 0; at < 5; at += 1) teachOne("first");
  expect(book.weight(WEB, image("first")) > 0.1).toEqual(true);
  for (let at = 0; at < TAIL_MODEL.maxImages; at += 1) teachOne(`image${at}`);
  expect(book.weight(WEB, image("first"))).toEqual(TAIL_MODEL.initialWeight);
  expect(book.weight(WEB, image("image0")) > 0.05).toEqual(true);
});

test("what is learnt stays finite over hours of readings", () => {
  const book = new InterferenceBook();
  const random = new SeededRandom(11);
  const images = Array.from({ length: 9 }, (_, at) => image(`image${at}`));
  for (let at = 0; at < 200_000; at += 1) {
    const beside = new Map(
      images
        .filter(() => random.next() < 0.4)
        .map((name) => [name, random.next() * 20]),
    );
    const tail = 4 * (random.next() - 0.5);
    book.learn(WEB, { tail, tasks: 1 + Math.floor(random.next() * 5), beside });
  }
  for (const name of images) {
    const weight = book.weight(WEB, name);
    expect(weight >= 0 && weight <= TAIL_MODEL.maxWeight).toEqual(true);
  }
  expect(Math.abs(book.predict(WEB, new Map())) < 2).toEqual(true);
});
