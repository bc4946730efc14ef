/** Progress records must stay readable for leaders of other versions. */

import { test } from "node:test";
import { expect } from "earl";
import { STARTED_PROGRESS } from "@rackspan/standins";
import {
  decodeProgress,
  encodeProgress,
  type ProgressRecord,
} from "@rackspan/state";

const RECORD: ProgressRecord = {
  ...STARTED_PROGRESS,
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

test("evidence that earlier versions cannot read is stored as a value that they can", () => {
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

test("doubted evidence of one gang member does not apply to another member with the same run number", () => {
  const record: ProgressRecord = {
    ...RECORD,
    crashes: [
      ["0.0.0", [[7, "doubted"]]],
      ["0.0.1", [[7, "lost"]]],
    ],
  };
  expect(decodeProgress("job", encodeProgress(record))).toEqual(record);
});
