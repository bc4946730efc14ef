/** Random numbers that differ between processes, also between those that start together. */

import type { Random } from "./random.js";

export class SystemRandom implements Random {
  next(): number {
    return Math.random();
  }
}
