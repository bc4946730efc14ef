import { test } from "node:test";
import { expect } from "earl";
import { SeededRandom } from "@rackspan/common";
import { INTERFERENCE, InterferenceBook } from "@rackspan/jobs";
import type { ImageName } from "@rackspan/state";

const image = (name: string): ImageName => name as unknown as ImageName;
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
    let tail = INTERFERENCE.initialBase;
    for (const [name, cores] of beside) {
      tail += (TRUE_WEIGHTS.get(name) ?? 0) * cores;
    }
    const noise = 0.2 * (random.next() - 0.5);
    book.learn(WEB, Math.exp(tail + noise), beside);
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
  for (const tail of [1e9, 0, Number.MIN_VALUE, 1e9, 50]) {
    book.learn(WEB, tail, beside);
    const weight = book.weight(WEB, image("render"));
    expect(weight >= 0 && weight <= INTERFERENCE.maxWeight).toEqual(true);
  }
});

test("readings without filling tasks move only the base", () => {
  const book = new InterferenceBook();
  for (let at = 0; at < 200; at += 1) book.learn(WEB, 0.7, new Map());
  expect(Math.abs(Math.exp(book.base(WEB)) - 0.7) < 0.02).toEqual(true);
  expect(book.weight(WEB, image("render"))).toEqual(INTERFERENCE.initialWeight);
});
