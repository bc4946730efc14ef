/** Amounts of resources that hosts have and tasks request. */

import { z } from "zod";

const STEPS_PER_UNIT = 1_000;

/**
 * Rounds to thousandths, so that sums do not depend on the order of addition: folds that
 * were restored from a snapshot add in a different order than other folds.
 */
const roundToStep = (amount: number): number =>
  Math.round(amount * STEPS_PER_UNIT) / STEPS_PER_UNIT;

/** Processors in cores (fractions allowed), memory in MiB, accelerators as whole devices. */
export const resourcesSchema = z.strictObject({
  processors: z.number().min(0).max(100_000).transform(roundToStep),
  memoryMiB: z.number().min(0).max(1e9).transform(roundToStep),
  accelerators: z.number().int().min(0).max(10_000).default(0),
});

export type Resources = z.infer<typeof resourcesSchema>;

export const NO_RESOURCES: Resources = {
  processors: 0,
  memoryMiB: 0,
  accelerators: 0,
};

const RESOURCE_NAMES = ["processors", "memoryMiB", "accelerators"] as const;
export type ResourceName = (typeof RESOURCE_NAMES)[number];

export const addResources = (a: Resources, b: Resources): Resources => ({
  processors: roundToStep(a.processors + b.processors),
  memoryMiB: roundToStep(a.memoryMiB + b.memoryMiB),
  accelerators: a.accelerators + b.accelerators,
});

export const subtractResources = (a: Resources, b: Resources): Resources => ({
  processors: roundToStep(a.processors - b.processors),
  memoryMiB: roundToStep(a.memoryMiB - b.memoryMiB),
  accelerators: a.accelerators - b.accelerators,
});

/** The first resource of which `asked` exceeds `free`; undefined if the request fits. */
export const firstShortage = (
  asked: Resources,
  free: Resources,
): ResourceName | undefined =>
  RESOURCE_NAMES.find((name) => asked[name] > free[name]);
