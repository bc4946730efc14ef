/** Identity of a task, as named by its claim and as stored in the worker's notes. */

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

/** Notes from which a later side process restores the identity. */
export const notesOf = (identity: TaskIdentity): Record<string, string> => ({
  unit: identity.unit,
  attempt: String(identity.attempt),
  kind: identity.kind,
  ...(identity.service === undefined ? {} : { service: identity.service }),
});

/** @returns undefined when the task was not started by a side process */
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
