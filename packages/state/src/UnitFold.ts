/**
 * State of all units and the records that change it. A unit has at most one claim
 * at a time, so that it runs in one place only.
 */

import {
  addResources,
  firstShortage,
  NO_RESOURCES,
  subtractResources,
  type HostGeneration,
  type HostId,
  type Resources,
  type Sequence,
  type TeamName,
  type UnitId,
} from "@rackspan/common";
import type { EndKind } from "@rackspan/protocol";
import { BoundedMap } from "./BoundedMap.js";
import type { QuotaDeclaration } from "./declarations.js";
import type { RecordOf, RejectReason } from "./records.js";
import type { FinishKind, Unit, UnitSpec } from "./units.js";

/**
 * Maximum number of finished jobs whose state can still be queried; the
 * oldest are dropped first.
 */
export const MAX_FINISHED_JOBS = 20_000;

/** A host and the highest generation to which the entry applies. */
interface HostWithGeneration {
  readonly host: HostId;
  readonly generation: HostGeneration;
}

export interface UnitSnapshot {
  readonly units: readonly Unit[];
  readonly finished: readonly Unit[];
  readonly endedHosts: readonly HostWithGeneration[];
  readonly drainingHosts: readonly HostWithGeneration[];
}

/** Why a record was rejected; undefined stands for an accepted record. */
export type Rejection = {
  readonly reason: RejectReason;
  readonly detail: string;
};

interface TeamUse {
  readonly resources: Resources;
  readonly jobs: number;
}

const NO_USE: TeamUse = { resources: NO_RESOURCES, jobs: 0 };

export class UnitFold {
  private readonly units = new Map<UnitId, Unit>();
  private readonly finishedJobs = new BoundedMap<UnitId, Unit>(
    MAX_FINISHED_JOBS,
  );
  private readonly endedHosts = new Map<HostId, HostGeneration>();
  private readonly drainingHosts = new Map<HostId, HostGeneration>();
  private readonly teamUse = new Map<TeamName, TeamUse>();
  private readonly openIds = new Set<UnitId>();
  private readonly idsByHost = new Map<HostId, Set<UnitId>>();

  get(id: UnitId): Unit | undefined {
    return this.units.get(id) ?? this.finishedJobs.get(id);
  }

  /** All units that are not finished. */
  unfinishedUnits(): IterableIterator<Unit> {
    return this.units.values();
  }

  /** Units whose current attempt is not claimed. */
  openUnits(): readonly Unit[] {
    return [...this.openIds].map((id) => this.units.get(id) as Unit);
  }

  /** Hosts with a claim on at least one attempt. */
  claimingHosts(): readonly HostId[] {
    return [...this.idsByHost.keys()];
  }

  /** Units whose current attempt is claimed for the host. */
  claimedBy(host: HostId): readonly Unit[] {
    const ids = this.idsByHost.get(host) ?? new Set<UnitId>();
    return [...ids].map((id) => this.units.get(id) as Unit);
  }

  get unfinishedCount(): number {
    return this.units.size;
  }

  /** Finished jobs that are still stored, oldest first. */
  finishedUnits(): readonly Unit[] {
    return [...this.finishedJobs].map(([, unit]) => unit);
  }

  usedBy(team: TeamName): Resources {
    return (this.teamUse.get(team) ?? NO_USE).resources;
  }

  /** The highest generation of the host that is certified to have ended; -1 for none. */
  endedGeneration(host: HostId): number {
    return this.endedHosts.get(host) ?? -1;
  }

  /** Creates the unit, or updates the spec that its next attempt uses. */
  upsert(id: UnitId, spec: UnitSpec, at: Sequence): void {
    const unit = this.units.get(id);
    if (!unit) {
      const fresh = { id, spec, specVersion: at, wanted: true, failures: 0 };
      this.put({ ...fresh, phase: "open", attempt: 1 });
      return;
    }
    this.put({ ...unit, spec, specVersion: at, wanted: true });
  }

  /**
   * Marks the unit as no longer wanted. It finishes at once, or when
   * its claimed attempt ends.
   */
  retire(id: UnitId): void {
    const unit = this.units.get(id);
    if (!unit) return;
    if (unit.phase === "claimed") this.put({ ...unit, wanted: false });
    else this.finish({ ...unit, wanted: false }, "cancelled");
  }

  submit(
    id: UnitId,
    spec: UnitSpec,
    at: Sequence,
    quota: QuotaDeclaration | undefined,
  ): Rejection | undefined {
    const existing = this.get(id);
    if (existing)
      return { reason: "exists", detail: `${id} was submitted before` };
    const { jobs } = this.teamUse.get(spec.team) ?? NO_USE;
    if (quota && jobs >= quota.maxJobs) {
      const detail = `team ${spec.team} has ${jobs} jobs, its quota is ${quota.maxJobs}`;
      return { reason: "quota", detail };
    }
    this.upsert(id, spec, at);
    return undefined;
  }

  claim(
    record: RecordOf<"claim">,
    at: Sequence,
    quota: QuotaDeclaration | undefined,
  ): Rejection | undefined {
    const unit = this.units.get(record.unit);
    if (!unit)
      return { reason: "unknown-unit", detail: `no unit ${record.unit}` };
    if (unit.phase !== "open" || unit.attempt !== record.attempt) {
      const detail = `attempt ${unit.attempt} is ${unit.phase}`;
      return { reason: "not-open", detail };
    }
    if (record.generation <= this.endedGeneration(record.host)) {
      return { reason: "host-ended", detail: `${record.host} has ended` };
    }
    if (record.generation <= this.drainingGeneration(record.host)) {
      return { reason: "host-leaving", detail: `${record.host} is leaving` };
    }
    const shortage = quota && this.quotaShortage(unit, quota);
    if (shortage) {
      const detail = `team ${unit.spec.team} is at its quota of ${shortage}`;
      return { reason: "quota", detail };
    }
    const { host, generation, reservation } = record;
    const { specVersion } = unit;
    const claim = { host, generation, reservation, sequence: at, specVersion };
    this.put({ ...unit, phase: "claimed", claim });
    return undefined;
  }

  ended(record: RecordOf<"ended">): Rejection | undefined {
    const unit = this.units.get(record.unit);
    if (!unit)
      return { reason: "unknown-unit", detail: `no unit ${record.unit}` };
    const current =
      unit.phase === "claimed" &&
      unit.attempt === record.attempt &&
      unit.claim?.host === record.host;
    if (!current) {
      const detail = `attempt ${unit.attempt} is ${unit.phase}`;
      return { reason: "not-current", detail };
    }
    this.endAttempt(unit, record.end, record.detail, record.checkpoint);
    return undefined;
  }

  hostEnded({
    host,
    generation,
  }: RecordOf<"hostEnded">): Rejection | undefined {
    if (generation <= this.endedGeneration(host)) {
      return { reason: "repeated", detail: `${host} has ended already` };
    }
    this.endedHosts.set(host, generation);
    for (const unit of this.claimedBy(host)) {
      if (unit.claim && unit.claim.generation > generation) continue;
      this.endAttempt(unit, "lost", `host ${host} ended`, undefined);
    }
    return undefined;
  }

  /** The highest generation of the host that is draining; -1 for none. */
  drainingGeneration(host: HostId): number {
    return this.drainingHosts.get(host) ?? -1;
  }

  hostDraining({
    host,
    generation,
  }: RecordOf<"hostDraining">): Rejection | undefined {
    if (generation <= this.drainingGeneration(host)) {
      return { reason: "repeated", detail: `${host} is leaving already` };
    }
    this.drainingHosts.set(host, generation);
    return undefined;
  }

  toSnapshot(): UnitSnapshot {
    return {
      units: [...this.units.values()],
      finished: this.finishedUnits(),
      endedHosts: toList(this.endedHosts),
      drainingHosts: toList(this.drainingHosts),
    };
  }

  restore(snapshot: UnitSnapshot): void {
    for (const unit of snapshot.units) this.put(unit);
    for (const unit of snapshot.finished) this.finishedJobs.set(unit.id, unit);
    for (const { host, generation } of snapshot.endedHosts) {
      this.endedHosts.set(host, generation);
    }
    for (const { host, generation } of snapshot.drainingHosts) {
      this.drainingHosts.set(host, generation);
    }
  }

  /** Ends the current attempt, then finishes the unit or opens its next attempt. */
  private endAttempt(
    unit: Unit,
    end: EndKind,
    detail: string | undefined,
    checkpoint: string | undefined,
  ): void {
    const failures = unit.failures + (end === "failed" ? 1 : 0);
    const freed: Unit = {
      ...unit,
      claim: undefined,
      failures,
      lastEnd: end,
      lastDetail: detail,
      checkpoint: checkpoint ?? unit.checkpoint,
    };
    const finish = finishOf(freed, end);
    if (finish) this.finish(freed, finish);
    else this.put({ ...freed, phase: "open", attempt: unit.attempt + 1 });
  }

  private finish(unit: Unit, finish: FinishKind): void {
    this.unindex(this.units.get(unit.id));
    this.units.delete(unit.id);
    if (unit.spec.kind !== "job") return;
    this.finishedJobs.set(unit.id, { ...unit, phase: "finished", finish });
  }

  private put(unit: Unit): void {
    this.unindex(this.units.get(unit.id));
    this.units.set(unit.id, unit);
    this.index(unit);
  }

  private index(unit: Unit): void {
    this.addUse(unit);
    if (unit.phase === "open") this.openIds.add(unit.id);
    if (!unit.claim) return;
    const ids = this.idsByHost.get(unit.claim.host) ?? new Set<UnitId>();
    ids.add(unit.id);
    this.idsByHost.set(unit.claim.host, ids);
  }

  private unindex(unit: Unit | undefined): void {
    if (!unit) return;
    this.removeUse(unit);
    this.openIds.delete(unit.id);
    if (!unit.claim) return;
    const ids = this.idsByHost.get(unit.claim.host);
    ids?.delete(unit.id);
    if (ids?.size === 0) this.idsByHost.delete(unit.claim.host);
  }

  private quotaShortage(unit: Unit, quota: QuotaDeclaration) {
    const free = subtractResources(
      quota.resources,
      this.usedBy(unit.spec.team),
    );
    return firstShortage(unit.spec.resources, free);
  }

  private addUse(unit: Unit): void {
    const use = this.teamUse.get(unit.spec.team) ?? NO_USE;
    const resources = addResources(use.resources, claimedResources(unit));
    this.teamUse.set(unit.spec.team, {
      resources,
      jobs: use.jobs + jobCount(unit),
    });
  }

  private removeUse(unit: Unit): void {
    const use = this.teamUse.get(unit.spec.team) ?? NO_USE;
    const resources = subtractResources(use.resources, claimedResources(unit));
    this.teamUse.set(unit.spec.team, {
      resources,
      jobs: use.jobs - jobCount(unit),
    });
  }
}

const toList = (
  hosts: ReadonlyMap<HostId, HostGeneration>,
): HostWithGeneration[] =>
  [...hosts].map(([host, generation]) => ({ host, generation }));

const claimedResources = (unit: Unit): Resources =>
  unit.phase === "claimed" ? unit.spec.resources : NO_RESOURCES;

const jobCount = (unit: Unit): number => (unit.spec.kind === "job" ? 1 : 0);

const finishOf = (unit: Unit, end: EndKind): FinishKind | undefined => {
  if (unit.spec.kind === "job" && end === "succeeded") return "succeeded";
  if (!unit.wanted) return "cancelled";
  if (unit.spec.kind !== "job") return undefined;
  const limit = unit.spec.maxFailures ?? Infinity;
  return unit.failures >= limit ? "failed" : undefined;
};
