/**
 * Chooses a host whose serving tasks fit on other hosts that have some. Filling tasks run
 * at full pace only on hosts without serving tasks.
 */

import { groupBy } from "@rackspan/common";
import {
  interferenceProfileOf,
  type ActiveRun,
  type HostState,
} from "@rackspan/jobs";
import { FULL_PROGRESS } from "./learnInterference.js";
import {
  fitsInto,
  freeCapacityOf,
  isAllowedOn,
  type FreeCapacity,
} from "./taskPlacers.js";
import { leavesHostReserve } from "./plainReserve.js";

const LIMITS = {
  /** Tasks that are moved to empty one host. */
  maxMoves: 6,
  /** Hosts that are tried in one plan; bounds its cost on large services. */
  maxCandidates: 16,
} as const;

export interface ServingMove {
  readonly run: ActiveRun;
  readonly from: HostState;
  readonly to: HostState;
}

export interface ConsolidationOptions {
  /** Hosts of one service that accept tasks. */
  readonly hosts: readonly HostState[];
  /** Moves whose tasks have been stopped and do not run on their new hosts yet. */
  readonly underWay: readonly ServingMove[];
  /** Hosts that are being emptied; none of them becomes a new host. */
  readonly emptying: ReadonlySet<HostState>;
}

/**
 * @param mayMove whether the task may be away for a moment
 * @returns the moves that empty a host, the fewest for its size; none if no host can be emptied
 */
export const planConsolidation = (
  options: ConsolidationOptions,
  mayMove: (run: ActiveRun) => boolean,
): readonly ServingMove[] => {
  const candidates = options.hosts
    .filter((host) => isUsed(host) && !options.emptying.has(host))
    .map((host) => ({ host, runs: [...host.runs.values()].filter(isServing) }))
    .filter(({ runs }) => runs.length > 0 && runs.length <= LIMITS.maxMoves)
    .filter(({ runs }) => runs.every(mayMove))
    .sort((a, b) => gainOf(b) - gainOf(a))
    .slice(0, LIMITS.maxCandidates);
  for (const { host, runs } of candidates) {
    const moves = movesOff(host, runs, options);
    if (moves) return moves;
  }
  return [];
};

interface Candidate {
  readonly host: HostState;
  readonly runs: readonly ActiveRun[];
}

/** Thousandths of a core that are freed for each task that is moved. */
const gainOf = ({ host, runs }: Candidate): number =>
  host.worker.milliCores / runs.length;

/** Whether the run has reached the state in which a lasting task serves. */
export const isAtWork = ({ phase, progressPercent }: ActiveRun): boolean =>
  phase === "running" && progressPercent >= FULL_PROGRESS;

const isUsed = ({ allocated }: HostState): boolean =>
  allocated.servingMilliCores > 0;

const isServing = ({ task }: ActiveRun): boolean =>
  interferenceProfileOf(task).kind === "serving";

/** Returns a host that takes the run now, the planned one if it does. */
export const currentTarget = (
  { run, from, to }: ServingMove,
  options: ConsolidationOptions,
): HostState | undefined => {
  const targets = targetsBeside(from, options);
  const planned = targets.find(({ host }) => host === to);
  if (planned?.takes(run)) return to;
  return tightestFor(run, targets)?.host;
};

/** @returns undefined if not all of the runs fit on the other hosts */
const movesOff = (
  from: HostState,
  runs: readonly ActiveRun[],
  options: ConsolidationOptions,
): readonly ServingMove[] | undefined => {
  const targets = targetsBeside(from, options);
  const moves: ServingMove[] = [];
  const largestFirst = [...runs].sort((a, b) => demandOf(b) - demandOf(a));
  for (const run of largestFirst) {
    const target = tightestFor(run, targets);
    if (!target) return undefined;
    target.add(run);
    moves.push({ run, from, to: target.host });
  }
  return moves;
};

/** Returns the hosts with serving tasks to which those of the given one may move. */
const targetsBeside = (
  from: HostState,
  { hosts, underWay, emptying }: ConsolidationOptions,
): readonly MoveTarget[] => {
  const arriving = groupBy(underWay, ({ to }) => to);
  return hosts
    .filter((host) => host !== from && isUsed(host) && !emptying.has(host))
    .map((host) => {
      const target = new MoveTarget(host);
      for (const { run } of arriving.get(host) ?? []) target.add(run);
      return target;
    });
};

/** Returns the target with the least room that takes the run. */
const tightestFor = (
  run: ActiveRun,
  targets: readonly MoveTarget[],
): MoveTarget | undefined => {
  let tightest: MoveTarget | undefined;
  for (const target of targets) {
    const isTighter =
      !tightest || target.leftMilliCores < tightest.leftMilliCores;
    if (isTighter && target.takes(run)) tightest = target;
  }
  return tightest;
};

const demandOf = ({ task }: ActiveRun): number =>
  task.step.spec.demand.milliCores;

/** A host with the tasks that the plan moves there. */
class MoveTarget {
  private readonly added: ActiveRun[] = [];
  private left: FreeCapacity;

  constructor(readonly host: HostState) {
    this.left = freeCapacityOf(host);
  }

  get leftMilliCores(): number {
    return this.left.milliCores;
  }

  takes({ task }: ActiveRun): boolean {
    const { host, left, added } = this;
    if (!isAllowedOn(task, host) || !fitsInto(task, left)) return false;
    const addedMilliCores = added.reduce((sum, run) => sum + demandOf(run), 0);
    if (!leavesHostReserve(task, host, addedMilliCores)) return false;
    const { maxPerHost } = task.step.spec;
    if (maxPerHost === 0) return true;
    const ofStep = added.filter((run) => run.task.step === task.step).length;
    return host.countOfStep(task.step) + ofStep < maxPerHost;
  }

  add(run: ActiveRun): void {
    const { demand } = run.task.step.spec;
    this.added.push(run);
    this.left = {
      milliCores: this.left.milliCores - demand.milliCores,
      memoryMiB: this.left.memoryMiB - demand.memoryMiB,
      accelerators: this.left.accelerators - demand.accelerators,
    };
  }
}
