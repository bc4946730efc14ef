/** Explains why a task waits: which rule excludes which hosts. */

import { crashLogOf, type HostState, type StepRun } from "@rackspan/jobs";
import type { HostEntry } from "./engineTypes.js";
import { isOverdueLasting } from "./CycleHostFilter.js";
import type { PermitState } from "./StepPermits.js";
import {
  fitsInto,
  freeCapacityOf,
  isAllowedOn,
  type PlacerRefusal,
  type TaskPlacer,
} from "./taskPlacers.js";
import {
  closedReason,
  NO_HOSTS,
  usableHosts,
  type ClosedReason,
  type UsableHostsOptions,
} from "./usableHosts.js";

/**
 * Why a step is not placed:
 * - `starting`: its start is ordered, and no worker has confirmed it;
 * - `take-over`: a run of it that a previous leader started may still exist on a host
 *   that has not reported yet;
 * - `ticket-refused`: a worker refused its ticket a moment ago;
 * - `crash-doubt`: it is being judged whether its task crashed a worker;
 * - `suspected`: its task crashed workers, so it waits for its write-ahead record, or
 *   for a host on which it can start isolated;
 * - `gang-incomplete`: members of its gang still run;
 * - `hosts`: every host is closed to it, by the rules that are counted.
 */
export type WaitCause =
  | "starting"
  | "take-over"
  | "ticket-refused"
  | "crash-doubt"
  | "suspected"
  | "gang-incomplete"
  | "hosts";

/**
 * Why an open host does not take the task; `placer` if it fits and the placer does not
 * say why it does not choose the host. Those of `PERMIT_RULES` concern the permit that the
 * queue requires.
 */
type RefusalRule =
  | "ejected"
  | "label-or-limit"
  | "room"
  | "placer"
  | PlacerRefusal
  | (typeof PERMIT_RULES)[keyof typeof PERMIT_RULES];

const PERMIT_RULES = {
  undecided: "permit-undecided",
  refused: "permit-refused",
  "no-ticket": "no-ticket",
} as const satisfies Record<Exclude<PermitState, "permitted">, string>;

/** How many hosts of the service each rule closes to the step. */
export type HostCounts = Readonly<
  Partial<Record<ClosedReason | RefusalRule | "other-service", number>>
>;

export interface WaitExplanation {
  readonly cause: WaitCause;
  readonly hosts: HostCounts;
}

export interface WaitingStep extends UsableHostsOptions {
  readonly step: StepRun;
  readonly service: string;
  readonly placer: TaskPlacer;
  /** Whether the takeover gate allows its job to start. */
  readonly mayStart: boolean;
  /** Undefined if the queue requires no permits. */
  readonly permitStateOf: ((host: HostState) => PermitState) | undefined;
  /** Iterated twice. */
  readonly entries: readonly HostEntry[];
}

export const explainWait = (waiting: WaitingStep): WaitExplanation => {
  const { step, service, now } = waiting;
  const { inService, ejected } = usableHosts(waiting).get(service) ?? NO_HOSTS;
  const skipped = new Set(isOverdueLasting(step, now) ? [] : ejected);
  const counts = new Map<keyof HostCounts, number>();
  for (const entry of waiting.entries) {
    const rule = ruleFor(entry, waiting, { inService, skipped });
    counts.set(rule, (counts.get(rule) ?? 0) + 1);
  }
  return { cause: causeOf(waiting), hosts: Object.fromEntries(counts) };
};

const causeOf = ({ step, mayStart, now }: WaitingStep): WaitCause => {
  const [task] = step.waiting;
  if (!mayStart) return "take-over";
  if (now < step.notBefore) return "ticket-refused";
  if (task && now < task.notBefore) return "crash-doubt";
  if (
    task &&
    (task.writeAheadRun !== undefined || crashLogOf(task).isSuspect)
  ) {
    return "suspected";
  }
  const open = step.tasks.length - step.doneCount;
  if (step.spec.gang && step.waiting.size < open) return "gang-incomplete";
  return "hosts";
};

interface HostsOfService {
  readonly inService: readonly HostState[];
  /** Usable hosts that the step does not try. */
  readonly skipped: ReadonlySet<HostState>;
}

const ruleFor = (
  entry: HostEntry,
  waiting: WaitingStep,
  { inService, skipped }: HostsOfService,
): keyof HostCounts => {
  const { step, service } = waiting;
  const { hostState } = entry;
  if ((hostState.worker.service as string) !== service) return "other-service";
  const closed = closedReason(entry, waiting);
  if (closed) return closed;
  if (skipped.has(hostState)) return "ejected";
  const [task] = step.waiting;
  if (!task) return "placer";
  if (!isAllowedOn(task, hostState)) return "label-or-limit";
  if (!fitsInto(task, freeCapacityOf(hostState))) return "room";
  const permitState = waiting.permitStateOf?.(hostState) ?? "permitted";
  if (permitState !== "permitted") return PERMIT_RULES[permitState];
  return waiting.placer.refusalOf?.(task, hostState, inService) ?? "placer";
};
