/** Base of all typed errors: a kind for programs, a remedy for the reader. */

export interface ErrorDetails {
  /** What happened, including the values that caused it. */
  readonly what: string;
  /** What the reader can do about it. */
  readonly remedy: string;
  readonly cause?: unknown;
}

export abstract class RackspanError extends Error {
  /** Stable kebab-case name; used as a metric label and in problem bodies. */
  abstract readonly kind: string;
  readonly what: string;
  readonly remedy: string;

  constructor({ what, remedy, cause }: ErrorDetails) {
    super(`${what}; ${remedy}`, cause === undefined ? undefined : { cause });
    this.name = new.target.name;
    this.what = what;
    this.remedy = remedy;
  }
}

/** A wait was ended by its abort signal, not by a failure. */
export class AbortedError extends RackspanError {
  readonly kind = "aborted";
  constructor(what = "the wait was cancelled") {
    super({ what, remedy: "nothing to do: the process is stopping" });
  }
}

/** Formats any thrown value as one line. */
export const describeError = (err: unknown): string =>
  err instanceof Error ? `${err.name}: ${err.message}` : String(err);
