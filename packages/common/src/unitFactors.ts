/** Conversion factors between the units used in settings, messages and logs. */

export const MS_PER_SECOND = 1_000;

/** Resource demands and usage readings are in thousandths of a core. */
export const MILLI_CORES_PER_CORE = 1_000;
