/**
 * Refuses jobs that can be of no use to their callers any more, by the leader's load
 * summary and what has been accepted since. It never refuses without a current summary.
 */

import type { Clock, Logger, Metrics } from "@rackspan/common";
import {
  type AcceptedJob,
  type JobSpec,
  type JobTerms,
  type LoadSummary,
  type LoadSummaryView,
} from "@rackspan/state";
import {
  decideAdmission,
  type AddedWork,
  type AdmissionDecision,
} from "./decideAdmission.js";
import { estimateJob, type JobEstimate } from "./jobEstimate.js";
import { retryAfterMs } from "./retryAfter.js";
import { ReturnQueue } from "./ReturnQueue.js";

export interface AdmissionControllerOptions {
  /** Whether jobs are refused at all. */
  readonly refusesHopeless: boolean;
  /** Milliseconds; an older summary refuses nothing. */
  readonly maxSummaryAgeMs: number;
  readonly summaries: Pick<LoadSummaryView, "current">;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

export interface AdmissionRefusal {
  readonly retryAfterMs: number;
}

/** A refusal that is confirmed once it is certain that the job was not accepted. */
export interface ProposedRefusal {
  /** @returns undefined if the job may have been accepted in the meantime */
  confirm(): AdmissionRefusal | undefined;
  /** Called if the job is not refused after all. */
  withdraw(reason: string): undefined;
}

export class AdmissionController {
  private added: AddedWork[] = [];
  private readonly returns = new ReturnQueue();

  constructor(private readonly options: AdmissionControllerOptions) {}

  /** Called when a summary has arrived: it contains the work that was added before. */
  handleSummary(): void {
    this.added = [];
  }

  /**
   * Counts a job that this entry has accepted, or that it has read of another entry, as
   * pending work until the next summary.
   */
  handleAccepted({ spec, terms }: AcceptedJob): void {
    const { refusesHopeless, maxSummaryAgeMs, summaries } = this.options;
    const { current } = summaries;
    if (!refusesHopeless) return;
    this.returns.remove(spec.id);
    if (!current || !isLimited(spec, terms)) return;
    // Without new summaries the list would grow for as long as the entry runs.
    if (current.ageMs > maxSummaryAgeMs) return;
    const { work, bucket } = this.estimate(spec, terms, current.summary);
    const { service, priority } = terms;
    this.added.push({ service, priority, bucket, work });
  }

  /** @returns undefined if the job is to be accepted */
  admit(spec: JobSpec, terms: JobTerms): AdmissionRefusal | undefined {
    return this.propose(spec, terms)?.confirm();
  }

  /**
   * Decides on the job. A refusal takes effect when it is confirmed; until then it is
   * only counted as work that may return, so that callers who are refused at the same
   * time get successive times.
   *
   * @returns undefined if the job is to be accepted
   */
  propose(spec: JobSpec, terms: JobTerms): ProposedRefusal | undefined {
    const { clock, refusesHopeless } = this.options;
    if (!refusesHopeless) return undefined;
    const { id } = spec;
    if (!isLimited(spec, terms)) {
      this.record(spec, terms, "accept", "unlimited");
      return undefined;
    }
    const { decision, estimate } = this.decide(spec, terms);
    const { outcome, reason, drainMs = 0, expected } = decision;
    const now = clock.monotonic();
    const firstArrival = this.returns.firstArrivalOf(id, now);
    const arrivedAt = firstArrival ?? now;
    if (outcome === "accept" || !expected) {
      this.record(spec, terms, "accept", reason, decision);
      return undefined;
    }
    const usefulUntil = arrivedAt + expected.limitMs - estimate.chainMs;
    const afterMs = retryAfterMs({ drainMs, usefulForMs: usefulUntil - now });
    const { service, priority } = terms;
    const refused = { id, service, priority, work: estimate.work };
    this.returns.add(refused, now, now + afterMs);
    const withdraw = (acceptReason: string): undefined => {
      // A job that was refused before keeps its place until it is known to be accepted.
      if (firstArrival === undefined) this.returns.remove(id);
      this.record(spec, terms, "accept", acceptReason, decision);
    };
    const confirm = (): AdmissionRefusal | undefined => {
      this.record(spec, terms, outcome, reason, decision, {
        chainMs: Math.round(estimate.chainMs),
        retryAfterMs: afterMs,
        firstArrivedMs: Math.round(now - arrivedAt),
      });
      return { retryAfterMs: afterMs };
    };
    return { confirm, withdraw };
  }

  private decide(
    spec: JobSpec,
    terms: JobTerms,
  ): {
    readonly decision: AdmissionDecision;
    readonly estimate: JobEstimate;
  } {
    const { summaries, maxSummaryAgeMs, clock } = this.options;
    const { current } = summaries;
    const { service, priority } = terms;
    const estimate = this.estimate(spec, terms, current?.summary);
    const { id } = spec;
    const job = { id, service, priority, work: estimate.work };
    const now = clock.monotonic();
    const decision = decideAdmission({
      service,
      priority,
      estimate,
      summary: current?.summary,
      summaryAgeMs: current?.ageMs ?? Infinity,
      maxSummaryAgeMs,
      added: this.added,
      waitedMs: now - (this.returns.firstArrivalOf(id, now) ?? now),
      returningWork: () => this.returns.workBefore(job, now),
    });
    return { decision, estimate };
  }

  private estimate(
    spec: JobSpec,
    terms: JobTerms,
    summary: LoadSummary | undefined,
  ): JobEstimate {
    const load = summary?.queues.find(({ queue }) => queue === spec.queue);
    return estimateJob(spec, terms, load);
  }

  private record(
    { id }: JobSpec,
    { service, priority }: JobTerms,
    outcome: "accept" | "refuse",
    reason: string,
    decision?: AdmissionDecision,
    details: Readonly<Record<string, number>> = {},
  ): void {
    const { logger, metrics, summaries } = this.options;
    const ageMs = summaries.current?.ageMs;
    metrics.count("admission_decisions", {
      outcome,
      reason,
      priority: String(priority),
    });
    if (ageMs !== undefined) metrics.gauge("load_summary_age_ms", ageMs);
    logger.info("job.admission", {
      job: id,
      outcome,
      reason,
      service,
      priority,
      summaryAge: ageMs === undefined ? undefined : Math.round(ageMs),
      ...roundAll(decision?.expected ?? {}),
      ...details,
    });
  }
}

const roundAll = (values: object): Readonly<Record<string, number>> =>
  Object.fromEntries(
    Object.entries(values).map(([name, value]) => [
      name,
      Math.round(value as number),
    ]),
  );

/**
 * Whether a job of this form may be refused. Jobs whose hosts need permits wait for
 * these, repeated jobs start at given times, and lasting steps have no end, so none of
 * them has an expected end that follows from the pending work.
 */
const isLimited = ({ steps, repeat }: JobSpec, terms: JobTerms): boolean =>
  terms.permitRule === undefined &&
  repeat === undefined &&
  steps.every(({ lasting }) => !lasting);
