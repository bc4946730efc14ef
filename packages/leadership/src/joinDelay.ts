/** How long an entry that finds no leader waits before it asks to lead. */

export const JOIN_DELAY = {
  /**
   * Entries of one standing ask within this. When two ask at once the store deals
   * leadership from one to the other, and every host attaches twice.
   */
  windowMs: 250,
  /**
   * How strongly waits gather at the end of the window; see joinDelayMs. With 35
   * entries the first is then 24 ms ahead of the second, with even waits 7 ms (mean
   * of 20,000 simulated elections).
   */
  gathering: 3,
  /** As long again as others take to notice that nobody leads: one look of theirs. */
  standBackMs: 500,
} as const;

/**
 * Processors that an entry should have to lead: at 160 hosts and 400 starts a second
 * a leader takes 0.46 of one on the mean of a day. At a third of one a day without
 * trouble earned 0.014 less, which is within what two plays of the same code differ.
 */
export const LEADER_PROCESSORS = 0.5;

/**
 * Waits get more frequent towards the end of the window. So however many entries
 * there are, few wait for less long than the one that asks first: even waits leave
 * a gap that shrinks with the number of entries, and nobody knows that number.
 *
 * @param drawn random, from 0 up to 1
 * @param standsBack whether entries with more processor time should lead first
 */
export const joinDelayMs = (drawn: number, standsBack: boolean): number => {
  const { windowMs, gathering, standBackMs } = JOIN_DELAY;
  const share = Math.log1p(drawn * Math.expm1(gathering)) / gathering;
  return share * windowMs + (standsBack ? standBackMs : 0);
};
