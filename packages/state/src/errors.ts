/** Errors of writing and restoring durable state. */

import { RackspanError } from "@rackspan/common";

/** The record was not appended and never will be. */
export class AppendRefusedError extends RackspanError {
  readonly kind = "log-unavailable";
  constructor(what: string, cause?: unknown) {
    super({
      what,
      remedy: "retry once the platform's log service answers again",
      cause,
    });
  }
}

/** The record may have been appended; its result was not read back in time. */
export class AppendUnknownError extends RackspanError {
  readonly kind = "append-unknown";
  constructor(what: string) {
    super({
      what,
      remedy: "query the state of what the record names before repeating it",
    });
  }
}

/** The state is no longer available from the log, a snapshot or a peer. */
export class HistoryLostError extends RackspanError {
  readonly kind = "past-lost";
  constructor(what: string, cause?: unknown) {
    super({
      what,
      remedy:
        "follow docs/operations/retention-loss.md: nothing is started until an operator decides",
      cause,
    });
  }
}
