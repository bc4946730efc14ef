/**
 * Places open units: reserves resources at a side, claims the unit on the log, and
 * starts it only after the log confirms that this claim has won.
 */

import PQueue from "p-queue";
import {
  describeError,
  jitter,
  taskIdOf,
  type Clock,
  type Logger,
  type Metrics,
  type Random,
  type UnitId,
} from "@rackspan/common";
import { RemoteError } from "@rackspan/protocol";
import {
  replicaGroupOf,
  type Appender,
  type Fold,
  type Priority,
  type Unit,
} from "@rackspan/state";
import { PresenceTracker } from "./PresenceTracker.js";
import { sampleHosts } from "./sampleHosts.js";
import type {
  HostDirectory,
  HostView,
  Ownership,
  Placer,
  HostReservation,
} from "./types.js";

export interface UnitPlacerOptions {
  readonly fold: Fold;
  readonly appender: Appender;
  readonly hosts: HostDirectory;
  readonly placer: Placer;
  readonly ownership: Ownership;
  readonly clock: Clock;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly logger: Logger;
  /** An entry waits this long for each entry that ranks before it for a unit, milliseconds. */
  readonly takeoverMs: number;
  /** Longest wait for the verdict on a claim; shorter than the lifetime of a reservation. */
  readonly claimTimeoutMs: number;
  /** Limit of concurrent placements. */
  readonly concurrency: number;
}

const PRIORITY_RANK: Readonly<Record<Priority, number>> = {
  urgent: 2,
  normal: 1,
  low: 0,
};
const MAX_HOSTS_TRIED = 3;
const FIRST_BACKOFF_MS = 250;
const MAX_BACKOFF_MS = 30_000;

interface Backoff {
  readonly attempt: number;
  readonly tries: number;
  readonly until: number;
}

export class UnitPlacer {
  private readonly queue: PQueue;
  private readonly inProgress = new Set<UnitId>();
  private readonly openUnits: PresenceTracker<string>;
  private readonly backoffs = new Map<UnitId, Backoff>();

  constructor(private readonly options: UnitPlacerOptions) {
    this.queue = new PQueue({ concurrency: options.concurrency });
    this.openUnits = new PresenceTracker(options.clock);
  }

  /** Queues the open units that may be placed now; called after each change. */
  sweep(): void {
    const open = this.options.fold.units.openUnits();
    const names = new Set<string>();
    for (const unit of open) {
      const name = taskIdOf(unit.id, unit.attempt);
      names.add(name);
      if (this.inProgress.has(unit.id)) continue;
      if (!this.isMyTurn(unit, this.openUnits.observe(name))) continue;
      this.enqueue(unit);
    }
    this.openUnits.retainOnly(names);
    for (const id of this.backoffs.keys()) {
      if (this.options.fold.units.get(id)?.phase !== "open")
        this.backoffs.delete(id);
    }
  }

  /** Number of placements that are queued or in progress. */
  get pendingCount(): number {
    return this.inProgress.size;
  }

  private isMyTurn(unit: Unit, openMs: number): boolean {
    const { ownership, takeoverMs, clock } = this.options;
    if (openMs < retryDelay(unit)) return false;
    const backoff = this.backoffs.get(unit.id);
    if (
      backoff?.attempt === unit.attempt &&
      clock.monotonic() < backoff.until
    ) {
      return false;
    }
    // Ranking by family lets one entry place all replicas of a declaration and spread them.
    const rank = ownership.rank(replicaGroupOf(unit));
    return openMs >= retryDelay(unit) + rank * takeoverMs;
  }

  private enqueue(unit: Unit): void {
    const { logger } = this.options;
    this.inProgress.add(unit.id);
    const priority = PRIORITY_RANK[unit.spec.priority];
    this.queue
      .add(() => this.place(unit), { priority })
      .catch((err: unknown) =>
        logger.error("unit.place-failed", {
          unit: unit.id,
          error: describeError(err),
        }),
      )
      .finally(() => this.inProgress.delete(unit.id));
  }

  private async place(unit: Unit): Promise<void> {
    if (!this.isStillOpen(unit)) return;
    const { metrics } = this.options;
    const ranked = this.rank(unit).slice(0, MAX_HOSTS_TRIED);
    for (const view of ranked) {
      const reserved = await this.reserve(unit, view);
      if (!reserved) continue;
      await this.claimAndStart(unit, view, reserved);
      return;
    }
    metrics.count("units_not_placed", {
      reason: ranked.length === 0 ? "no-room" : "refused",
    });
    this.backOff(unit);
  }

  /** Ranks a sample of the hosts first, and all hosts only if the unit fits on none of it. */
  private rank(unit: Unit): readonly HostView[] {
    const { placer, hosts, random } = this.options;
    const sample = sampleHosts(hosts, random);
    const ranked = placer.rank(unit, sample);
    if (ranked.length > 0 || sample.length >= hosts.names().length)
      return ranked;
    return placer.rank(unit, hosts.views());
  }

  private isStillOpen(unit: Unit): boolean {
    const now = this.options.fold.units.get(unit.id);
    return now?.phase === "open" && now.attempt === unit.attempt;
  }

  private async reserve(
    unit: Unit,
    view: HostView,
  ): Promise<HostReservation | undefined> {
    const { hosts, metrics, logger } = this.options;
    try {
      return await hosts.control(view.host)?.reserve(unit);
    } catch (err) {
      const reason =
        err instanceof RemoteError ? err.remoteKind : "unreachable";
      metrics.count("reserve_refused", { reason });
      logger.debug("reserve.refused", {
        unit: unit.id,
        host: view.host,
        reason,
      });
      return undefined;
    }
  }

  private async claimAndStart(
    unit: Unit,
    { host }: HostView,
    { reservation, generation }: HostReservation,
  ): Promise<void> {
    const { appender, hosts, metrics, logger, claimTimeoutMs } = this.options;
    const { id, attempt } = unit;
    const control = hosts.control(host);
    const claim = {
      type: "claim",
      unit: id,
      attempt,
      host,
      generation,
      reservation,
    } as const;
    try {
      const verdict = await appender.submit(claim, claimTimeoutMs);
      if (!verdict.accepted) {
        metrics.count("claims", { result: verdict.reason });
        logger.info("claim.lost", {
          unit: id,
          attempt,
          host,
          reason: verdict.reason,
        });
        await control?.releaseReservation(reservation).catch(() => undefined);
        if (verdict.reason === "quota") this.backOff(unit);
        return;
      }
      metrics.count("claims", { result: "won" });
    } catch (err) {
      // The claim was refused or its outcome is unknown: nothing is started, and the
      // reservation expires.
      metrics.count("claims", { result: "no-answer" });
      logger.warn("claim.no-answer", {
        unit: id,
        attempt,
        error: describeError(err),
      });
      this.backOff(unit);
      return;
    }
    await this.start(unit, host);
  }

  private async start(unit: Unit, host: HostView["host"]): Promise<void> {
    const { fold, hosts, logger } = this.options;
    const won = fold.units.get(unit.id);
    if (won?.phase !== "claimed" || won.attempt !== unit.attempt) return;
    try {
      await hosts.control(host)?.start(won);
      logger.info("unit.started", {
        unit: unit.id,
        attempt: unit.attempt,
        host,
      });
    } catch (err) {
      // The side's next status shows whether the task runs.
      const error = describeError(err);
      logger.warn("unit.start-failed", { unit: unit.id, host, error });
    }
  }

  private backOff(unit: Unit): void {
    const { clock, random } = this.options;
    const previous = this.backoffs.get(unit.id);
    const tries = previous?.attempt === unit.attempt ? previous.tries + 1 : 1;
    const waitMs = Math.min(
      MAX_BACKOFF_MS,
      FIRST_BACKOFF_MS * 2 ** (tries - 1),
    );
    const until = clock.monotonic() + jitter(random, waitMs);
    this.backoffs.set(unit.id, { attempt: unit.attempt, tries, until });
  }
}

/** Delay before the next attempt of a failed unit, milliseconds. */
const retryDelay = ({ failures, lastEnd }: Unit): number =>
  lastEnd === "failed"
    ? Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** Math.min(failures, 10))
    : 0;
