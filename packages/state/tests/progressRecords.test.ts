/** Progress records that leaders of other versions read too. */

import { test } from "node:test";
import { expect } from "earl";
import { BEGUN_PROGRESS } from "@rackspan/standins";
import {
  decodeProgress,
  encodeProgress,
  type ProgressRecord,
} from "@rackspan/state";

const RECORD: ProgressRecord = {
  ...BEGUN_PROGRESS,
  crashes: [
    [
      "0.0.0",
      [
        [7, "young"],
        [8, "doubted"],
      ],
    ],
  ],
};

test("evidence that earlier leaders cannot read is kept as one that they know", () => {
  const encoded = encodeProgress(RECORD);
  const { crashes } = JSON.parse(encoded.toString()) as ProgressRecord;
  expect(crashes).toEqual([
    [
      "0.0.0",
      [
        [7, "young"],
        [8, "young"],
      ],
    ],
  ]);
  expect(decodeProgress("job", encoded)).toEqual(RECORD);
});

test("what is doubted of one gang member is not doubted of another with that run", () => {
  const record: ProgressRecord = {
    ...RECORD,
    crashes: [
      ["0.0.0", [[7, "doubted"]]],
      ["0.0.1", [[7, "lost"]]],
    ],
  };
  expect(decodeProgress("job", encodeProgress(record))).toEqual(record);
});
