/** Factors between the units in which settings, the wire and logs count. */

export const MS_PER_SECOND = 1_000;

/** Demands and readings count thousandths of a core. */
export const MILLI_CORES_PER_CORE = 1_000;
