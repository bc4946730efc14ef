/** Branded ids of everything that processes refer to in messages. */

import { randomUUID } from "node:crypto";
import { brand, type Brand } from "./brand.js";

/** Name of a worker host in the platform's host list. */
export type HostId = Brand<string, "HostId">;
/** Counts the replacements of a host; incremented by the platform. */
export type HostGeneration = Brand<number, "HostGeneration">;
export type AvailabilityZone = Brand<string, "AvailabilityZone">;
export type Rack = Brand<string, "Rack">;
/** One run of a process; each restart gets a new one. */
export type Incarnation = Brand<string, "Incarnation">;
export type EntryId = Brand<string, "EntryId">;
export type ServiceName = Brand<string, "ServiceName">;
export type TeamName = Brand<string, "TeamName">;
/** A unit is placed as a whole: `service/0`, `worker/3`, or a job's name. */
export type UnitId = Brand<string, "UnitId">;
/** One attempt of a unit as it runs on a host: `unit#attempt`. */
export type TaskId = Brand<string, "TaskId">;
export type ReservationId = Brand<string, "ReservationId">;
export type RequestId = Brand<string, "RequestId">;
export type IdempotencyKey = Brand<string, "IdempotencyKey">;
/** Position of an entry in a stream of the log service. */
export type Offset = Brand<number, "Offset">;
/** Position of a record in the fold: the number of records applied before it. */
export type Sequence = Brand<number, "Sequence">;
/** Unique id that a writer assigns to a record. */
export type RecordId = Brand<string, "RecordId">;

/** Generation of a leadership group; a later leader has a higher epoch. */
export type Epoch = Brand<number, "Epoch">;
/** Identifies an incarnation of a worker; each restart gets a new one. */
export type WorkerInstance = Brand<string, "WorkerInstance">;
/** `JOB.OCCURRENCE.STEP.INDEX`, unique across all jobs. */
export type JobTaskId = Brand<string, "JobTaskId">;
/** Number of a start of a job's task; a later start has a higher one. */
export type RunNumber = Brand<number, "RunNumber">;
/** Milliseconds on a worker's steady clock, which may run some percent slow. */
export type WorkerTime = Brand<number, "WorkerTime">;

export const hostId = (value: string): HostId => brand<HostId>(value);
export const unitId = (value: string): UnitId => brand<UnitId>(value);
export const serviceName = (value: string): ServiceName =>
  brand<ServiceName>(value);
export const requestId = (value: string): RequestId => brand<RequestId>(value);
export const offset = (value: number): Offset => brand<Offset>(value);
export const sequence = (value: number): Sequence => brand<Sequence>(value);

export const taskIdOf = (unit: UnitId, attempt: number): TaskId =>
  brand<TaskId>(`${unit}#${attempt}`);

/** A new random id. Ids do not influence behaviour, so they need no seed. */
export const freshId = <B extends Brand<string, string>>(): B =>
  randomUUID() as unknown as B;
