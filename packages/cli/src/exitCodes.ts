/** Exit codes of both binaries; listed in docs/INTERFACE.md. */
export const EXIT_CODE = {
  OK: 0,
  FAILED: 1,
  /** Invalid arguments, settings or declarations. */
  BAD_INPUT: 2,
  /** The request conflicted with another change, or was refused. */
  REFUSED: 3,
  /** No entry could be reached. */
  UNREACHABLE: 4,
  /** A wait timed out. */
  TIMED_OUT: 5,
  /** `apply --dry-run` found changes. */
  CHANGES: 10,
} as const;

export type ExitCode = (typeof EXIT_CODE)[keyof typeof EXIT_CODE];
