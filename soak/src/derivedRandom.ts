/** Generators of one run that draw apart from each other, and from those of other seeds. */

import { createHash } from "node:crypto";
import { SeededRandom, type Random } from "@rackspan/common";

/** Small seeds as they are give much the same first draws: all runs would begin alike. */
export const derivedRandom = (seed: number, part: string): Random => {
  const hash = createHash("sha256").update(`${seed} ${part}`).digest();
  return new SeededRandom(hash.readInt32BE());
};
