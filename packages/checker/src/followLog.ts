/** Records what the log accepted, by a fold without any mutant. */

import {
  decodeBatch,
  Fold,
  jobUnitId,
  RECORD_STREAM,
  type RecordOf,
} from "@rackspan/state";
import type { FakeLog } from "./FakeLog.js";
import type { History } from "./history.js";

const recordConfig = (
  history: History,
  { base, changes }: RecordOf<"apply">,
  version: number,
): void => {
  for (const change of changes) {
    if (change.action !== "put" || change.declaration.kind !== "quota")
      continue;
    const { name, maxJobs: value } = change.declaration;
    history.record({ type: "configAccepted", name, value, version, base });
  }
};

/** Records accepted records in the history, also where the writer got no answer. */
export const followLog = (log: FakeLog, history: History): void => {
  const fold = new Fold();
  log.appended.on(({ stream, data }) => {
    if (stream === RECORD_STREAM) fold.applyBatch(decodeBatch(data));
  });
  fold.applied.on(({ record, result }) => {
    if (!result.accepted) return;
    if (record.type === "submit") {
      history.record({ type: "jobAccepted", unit: jobUnitId(record.job.name) });
    }
    if (record.type === "apply") recordConfig(history, record, result.sequence);
  });
};
