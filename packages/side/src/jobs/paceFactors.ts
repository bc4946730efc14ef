/**
 * Computes by which factor filling tasks should use more or less processor time than now,
 * from the readings of one poll. Tails and processor time in a poll span the same half
 * second, so the same readings always give the same target: a second poll before the first
 * change takes effect does not change paces twice.
 *
 * The model: the logarithm of a tail grows by a weight for each core in use beside it. The
 * distance to the target share (`aim`), positive or negative, is divided among the tasks
 * that disturb, in proportion to what they use.
 */

import { MILLI_CORES_PER_CORE, type JobTaskId } from "@rackspan/common";
import type { RunningTask } from "@rackspan/ports";

/** See docs/CAPACITY.md, "How values were found". */
export const PACE_FACTORS = {
  /** Distances to the aim below this change nothing; logarithm. */
  deadband: 0.07,
  /** Lower bound for the factor of one change. */
  minFactor: 0.4,
  /** Upper bound for the factor of one change. */
  maxFactor: 2,
  /** A pair of images with a lower weight is ignored; logarithm per core. */
  minWeight: 0.02,
  /** A task that adds less than this share of what the worst one adds is not slowed down. */
  minBlamedShare: 0.1,
} as const;

export interface ServingTail {
  readonly task: JobTaskId;
  readonly image: string;
  /** Tail latency as a share of its target. */
  readonly tail: number;
}

export interface PaceFactorsOptions {
  /** Share of its target at which a tail is held while filling tasks could use more. */
  readonly aim: number;
  readonly serving: readonly ServingTail[];
  readonly filling: readonly RunningTask[];
  /** Increase of the logarithm of the serving image's tail for each core that the task uses. */
  readonly weightOf: (serving: string, row: RunningTask) => number;
}

/** Below 1: use less. Exactly 1: no change. Above 1: use more. */
export type PaceFactors = ReadonlyMap<RunningTask, number>;

export const paceFactors = (options: PaceFactorsOptions): PaceFactors => {
  const factors = new Map<RunningTask, number>();
  for (const row of options.filling) factors.set(row, PACE_FACTORS.maxFactor);
  for (const server of options.serving) {
    for (const [row, factor] of factorsBeside(server, options)) {
      factors.set(row, Math.min(factor, factors.get(row) ?? factor));
    }
  }
  return factors;
};

/** Logarithm of the factor by which the tail may still grow; negative when it must shrink. */
export const headroomOf = ({ tail }: ServingTail, aim: number): number =>
  Math.log(aim / Math.max(tail, Number.MIN_VALUE));

const factorsBeside = (
  server: ServingTail,
  { aim, filling, weightOf }: PaceFactorsOptions,
): Map<RunningTask, number> => {
  const added = new Map<RunningTask, number>();
  for (const row of filling) {
    const weight = weightOf(server.image, row);
    if (weight < PACE_FACTORS.minWeight) continue;
    added.set(row, (weight * row.reading) / MILLI_CORES_PER_CORE);
  }
  const headroom = headroomOf(server, aim);
  if (headroom < -PACE_FACTORS.deadband)
    return slowDown(filling, added, headroom);
  const isNear = headroom <= PACE_FACTORS.deadband;
  const factor = isNear ? 1 : speedUpFactor(added, headroom);
  return new Map([...added.keys()].map((row) => [row, factor]));
};

const slowDown = (
  filling: readonly RunningTask[],
  added: ReadonlyMap<RunningTask, number>,
  headroom: number,
): Map<RunningTask, number> => {
  const total = sumOf(added.values());
  if (total <= 0) {
    // No pair of images is known to disturb, so any of the tasks may be the cause.
    const factor = Math.max(PACE_FACTORS.minFactor, Math.exp(headroom));
    return new Map(filling.map((row) => [row, factor]));
  }
  const factor = Math.max(PACE_FACTORS.minFactor, 1 + headroom / total);
  const least = PACE_FACTORS.minBlamedShare * Math.max(...added.values());
  const blamed = [...added].filter(([, share]) => share >= least);
  return new Map(blamed.map(([row]) => [row, factor]));
};

const speedUpFactor = (
  added: ReadonlyMap<RunningTask, number>,
  headroom: number,
): number => {
  const total = sumOf(added.values());
  if (total <= 0) return PACE_FACTORS.maxFactor;
  return Math.min(PACE_FACTORS.maxFactor, 1 + headroom / total);
};

const sumOf = (values: Iterable<number>): number => {
  let sum = 0;
  for (const value of values) sum += value;
  return sum;
};
