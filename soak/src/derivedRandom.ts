/** Independent random generators for the parts of one run, derived from its seed. */

import { createHash } from "node:crypto";
import { SeededRandom, type Random } from "@rackspan/common";

/** Hashes seed and part: small seeds used directly give similar first draws, so that all runs would start alike. */
export const derivedRandom = (seed: number, part: string): Random => {
  const hash = createHash("sha256").update(`${seed} ${part}`).digest();
  return new SeededRandom(hash.readInt32BE());
};
