/** Safety steps that can be switched off, to show that the schedules detect it. */
export const MUTANTS = [
  /** A claim counts as won before it was read back. */
  "no-read-back",
  /** Reservations at a side never expire. */
  "no-reservation-expiry",
  /** A change is accepted regardless of the version that it was based on. */
  "no-base-version",
  /** A record that is read twice is applied twice. */
  "no-deduplication",
  /** A request is retried although the side has not confirmed that it did not run. */
  "no-request-fence",
  /** A claim is reported as never started although the side has not fenced its task. */
  "no-task-fence",
  /** The worker executes orders of a replaced side process. */
  "no-owner-check",
  /** The end of a host is certified before its leases have expired. */
  "no-lease-wait",
  /** A key is used without a claim on the log. */
  "no-key-claim",
] as const;

export type Mutant = (typeof MUTANTS)[number];
