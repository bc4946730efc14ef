/** How long an entry that finds no leader waits before it asks to lead. */

export const JOIN_DELAY = {
  /**
   * Entries of one standing ask within this. When two ask at once the store moves
   * leadership from one to the other, and every host attaches twice.
   */
  windowMs: 250,
  /** How strongly waits gather at the end of the window; see joinDelayMs. */
  skew: 3,
  /** Added for entries that stand back, so that others notice first that nobody leads. */
  lowPriorityDelayMs: 500,
} as const;

/** Processors that an entry should have to lead; one with less stands back. */
export const MIN_LEADER_PROCESSORS = 0.5;

/**
 * Waits get more frequent towards the end of the window. So however many entries
 * there are, few wait for less long than the one that asks first: even waits leave
 * a gap that shrinks with the number of entries, which is not known.
 *
 * @param drawn random, from 0 up to 1
 * @param standsBack whether entries with more processor time should lead first
 */
export const joinDelayMs = (drawn: number, standsBack: boolean): number => {
  const {
    windowMs,
    skew: gathering,
    lowPriorityDelayMs: standBackMs,
  } = JOIN_DELAY;
  const share = Math.log1p(drawn * Math.expm1(gathering)) / gathering;
  return share * windowMs + (standsBack ? standBackMs : 0);
};
