/** How long an entry that finds no leader waits before it joins the leadership group. */

export const JOIN_DELAY = {
  /**
   * Entries of equal priority join within this window. When two of them join at the
   * same time, the store moves leadership from one to the other, and every host has to
   * attach twice.
   */
  windowMs: 250,
  /** How strongly delays concentrate at the end of the window; see joinDelayMs. */
  skew: 3,
  /** Added for low-priority entries, so that other entries detect a missing leader first. */
  lowPriorityDelayMs: 500,
} as const;

/** Processors that an entry should have to lead; an entry with less has low priority. */
export const MIN_LEADER_PROCESSORS = 0.5;

/**
 * Draws a delay from a distribution whose density grows exponentially towards the end
 * of the window, so that few entries join shortly after the first one, however many
 * entries there are. Uniform delays would leave a gap behind the first entry that
 * shrinks with the number of entries, which is not known.
 *
 * @param randomValue uniform random number from 0 up to 1
 * @param isLowPriority whether entries with more processor time should lead first
 */
export const joinDelayMs = (
  randomValue: number,
  isLowPriority: boolean,
): number => {
  const { windowMs, skew, lowPriorityDelayMs } = JOIN_DELAY;
  const share = Math.log1p(randomValue * Math.expm1(skew)) / skew;
  return share * windowMs + (isLowPriority ? lowPriorityDelayMs : 0);
};
