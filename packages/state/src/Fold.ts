/**
 * The deterministic fold over the log: all processes that have applied the same
 * entries have the same state.
 */

import {
  assertNever,
  Emitter,
  sequence,
  type Incarnation,
  type Sequence,
} from "@rackspan/common";
import { BoundedMap } from "./BoundedMap.js";
import type { Batch } from "./codec.js";
import { ConfigFold, type ConfigSnapshot } from "./ConfigFold.js";
import type { ApplyResult, LogRecord, RecordOf } from "./records.js";
import { RequestFold, type RequestSnapshot } from "./RequestFold.js";
import { UnitFold, type Rejection, type UnitSnapshot } from "./UnitFold.js";
import { updateUnits } from "./updateUnits.js";
import { jobSpec, jobUnitId } from "./units.js";

/**
 * Maximum number of writers whose last record number is stored, to
 * ignore repeated records.
 */
const MAX_WRITERS = 4_096;

export interface AppliedRecord {
  readonly writer: Incarnation;
  /** Number that the writer gave the record. */
  readonly number: number;
  readonly record: LogRecord;
  readonly result: ApplyResult;
}

export interface FoldSnapshot {
  readonly sequence: number;
  readonly writers: readonly {
    readonly writer: Incarnation;
    readonly last: number;
  }[];
  readonly config: ConfigSnapshot;
  readonly units: UnitSnapshot;
  readonly requests: RequestSnapshot;
}

export interface FoldOptions {
  /** Disabled only in tests that show which faults it prevents. */
  readonly ignoreDuplicates?: boolean;
  readonly checkBaseVersion?: boolean;
}

export class Fold {
  readonly config = new ConfigFold();
  readonly units = new UnitFold();
  readonly requests = new RequestFold();
  /** Emits each record after it is applied. */
  readonly applied = new Emitter<AppliedRecord>();
  private readonly writers = new BoundedMap<Incarnation, number>(MAX_WRITERS);
  private count = 0;

  constructor(private readonly options: FoldOptions = {}) {}

  /** Number of records applied so far. */
  get sequence(): Sequence {
    return sequence(this.count);
  }

  /** Number of the writer's last applied record; -1 for none. */
  lastNumberOf(writer: Incarnation): number {
    return this.writers.get(writer) ?? -1;
  }

  applyBatch({ writer, first, records }: Batch): void {
    records.forEach((record, index) => {
      const number = first + index;
      const repeated = number <= this.lastNumberOf(writer);
      if (repeated && this.options.ignoreDuplicates !== false) return;
      this.writers.set(writer, number);
      const result = this.apply(record);
      this.applied.emit({ writer, number, record, result });
    });
  }

  /** Applies one record and returns the result. */
  apply(record: LogRecord): ApplyResult {
    this.count += 1;
    const at = this.sequence;
    const rejection = this.dispatch(record, at);
    if (!rejection) return { accepted: true, sequence: at };
    return { accepted: false, sequence: at, ...rejection };
  }

  private dispatch(record: LogRecord, at: Sequence): Rejection | undefined {
    switch (record.type) {
      case "apply":
        return this.applyConfig(record, at);
      case "submit":
        return this.submit(record, at);
      case "cancel":
        return this.cancel(record);
      case "claim":
        return this.claim(record, at);
      case "ended":
        return this.units.ended(record);
      case "hostEnded":
        return this.units.hostEnded(record);
      case "hostDraining":
        return this.units.hostDraining(record);
      case "requestClaim":
        return this.requests.claim(record);
      case "requestOutcome":
        return this.requests.outcome(record);
      case "requestRelease":
        return this.requests.release(record);
      default:
        return assertNever(record);
    }
  }

  private applyConfig(
    record: RecordOf<"apply">,
    at: Sequence,
  ): Rejection | undefined {
    const conflict = this.config.conflictOf(record);
    if (conflict && this.options.checkBaseVersion !== false) {
      const { key, changedAt } = conflict;
      const detail = `${key} was changed at version ${changedAt}, after version ${record.base}`;
      return { reason: "conflict", detail };
    }
    const before = record.changes.map((change) => {
      const { kind, name } =
        change.action === "put" ? change.declaration : change;
      return this.config.get(kind, name);
    });
    this.config.accept(record, at);
    record.changes.forEach((change, index) =>
      updateUnits(this.units, change, before[index], at),
    );
    return undefined;
  }

  private submit(
    { job }: RecordOf<"submit">,
    at: Sequence,
  ): Rejection | undefined {
    return this.units.submit(
      jobUnitId(job.name),
      jobSpec(job),
      at,
      this.quotaOf(job.team),
    );
  }

  private cancel({ unit }: RecordOf<"cancel">): Rejection | undefined {
    const known = this.units.get(unit);
    if (!known) return { reason: "unknown-unit", detail: `no unit ${unit}` };
    if (known.phase === "finished") {
      return {
        reason: "not-open",
        detail: `${unit} has ${known.finish ?? "finished"}`,
      };
    }
    this.units.retire(unit);
    return undefined;
  }

  private claim(
    record: RecordOf<"claim">,
    at: Sequence,
  ): Rejection | undefined {
    const team = this.units.get(record.unit)?.spec.team;
    return this.units.claim(record, at, team && this.quotaOf(team));
  }

  private quotaOf(team: string) {
    const quota = this.config.get("quota", team);
    return quota?.kind === "quota" ? quota : undefined;
  }

  toSnapshot(): FoldSnapshot {
    return {
      sequence: this.count,
      writers: [...this.writers].map(([writer, last]) => ({ writer, last })),
      config: this.config.toSnapshot(),
      units: this.units.toSnapshot(),
      requests: this.requests.toSnapshot(),
    };
  }

  /** Restores a snapshot. Only valid on a fold that has not applied any record. */
  restore(snapshot: FoldSnapshot): void {
    this.count = snapshot.sequence;
    for (const { writer, last } of snapshot.writers)
      this.writers.set(writer, last);
    this.config.restore(snapshot.config);
    this.units.restore(snapshot.units);
    this.requests.restore(snapshot.requests);
  }
}
