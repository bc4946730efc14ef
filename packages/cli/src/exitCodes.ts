/** Exit codes of both binaries; listed in docs/INTERFACE.md. */
export const EXIT_CODE = {
  OK: 0,
  FAILED: 1,
  /** Wrong arguments, or faults in settings or declarations. */
  BAD_INPUT: 2,
  /** A conflict, or a refusal by the system. */
  REFUSED: 3,
  /** No entry could be reached. */
  UNREACHABLE: 4,
  /** A wait ended before what was waited for came about. */
  TIMED_OUT: 5,
  /** `apply --dry-run` found changes. */
  CHANGES: 10,
} as const;

export type ExitCode = (typeof EXIT_CODE)[keyof typeof EXIT_CODE];
