/** Who a task is, as the claim names it and as the worker's notes keep it. */

import {
  unitId,
  type ServiceName,
  type TaskId,
  type UnitId,
} from "@rackspan/common";
import type { WorkerTask } from "@rackspan/ports";
import { taskKindSchema, type TaskKind } from "@rackspan/protocol";

export interface TaskIdentity {
  readonly task: TaskId;
  readonly unit: UnitId;
  readonly attempt: number;
  readonly kind: TaskKind;
  readonly service?: ServiceName | undefined;
}

/** The notes that a later run of the side process reads the identity from. */
export const notesOf = (identity: TaskIdentity): Record<string, string> => ({
  unit: identity.unit,
  attempt: String(identity.attempt),
  kind: identity.kind,
  ...(identity.service === undefined ? {} : { service: identity.service }),
});

/** Nothing when the task was not started by a side process. */
export const identityFromNotes = ({
  task,
  notes,
}: WorkerTask): TaskIdentity | undefined => {
  const kind = taskKindSchema.safeParse(notes["kind"]);
  const attempt = Number(notes["attempt"]);
  if (!kind.success || !notes["unit"] || !Number.isInteger(attempt))
    return undefined;
  return {
    task,
    unit: unitId(notes["unit"]),
    attempt,
    kind: kind.data,
    service: notes["service"] as ServiceName | undefined,
  };
};
