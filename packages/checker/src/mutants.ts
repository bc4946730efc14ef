/** Safety steps that can be switched off, to show that the schedules would notice. */
export const MUTANTS = [
  /** A claim is taken as won before it was read back. */
  "no-read-back",
  /** Reservations at a side never expire. */
  "no-reservation-expiry",
  /** A change is accepted whatever version it was based on. */
  "no-base-version",
  /** A record that is seen twice is applied twice. */
  "no-deduplication",
  /** A request moves on though its side has not confirmed a not-run. */
  "no-request-fence",
  /** A claim is called never started without the side's promise. */
  "no-task-fence",
  /** The worker obeys a side process that was replaced. */
  "no-owner-check",
  /** A host's end is certified before its leases have run out. */
  "no-lease-wait",
  /** A key is used without a claim on the log. */
  "no-key-claim",
] as const;

export type Mutant = (typeof MUTANTS)[number];
