/** Errors of keeping and restoring durable state. */

import { RackspanError } from "@rackspan/common";

/** The record was not appended and will not be. */
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

/** The record may have been appended; what became of it was not seen in time. */
export class AppendUnknownError extends RackspanError {
  readonly kind = "append-unknown";
  constructor(what: string) {
    super({
      what,
      remedy: "ask for the state of what it names before repeating it",
    });
  }
}

/** Neither the log, a snapshot nor a peer has the state any more. */
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
