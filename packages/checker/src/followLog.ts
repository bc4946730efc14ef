/** What the log itself saw, by the rules with nothing switched off. */

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

/** Notes what was accepted, also where no writer heard of it. */
export const followLog = (log: FakeLog, history: History): void => {
  const truth = new Fold();
  log.kept.on(({ stream, data }) => {
    if (stream === RECORD_STREAM) truth.applyBatch(decodeBatch(data));
  });
  truth.applied.on(({ record, result: verdict }) => {
    if (!verdict.accepted) return;
    if (record.type === "submit") {
      history.record({ type: "jobAccepted", unit: jobUnitId(record.job.name) });
    }
    if (record.type === "apply")
      recordConfig(history, record, verdict.sequence);
  });
};
