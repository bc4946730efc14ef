/** Errors of calls to another process. */

import { RackspanError } from "@rackspan/common";

/** No byte of the call reached the other process. */
export class ConnectError extends RackspanError {
  readonly kind = "connect-failed";
  constructor(url: string, cause: unknown) {
    super({
      what: `cannot connect to ${url}`,
      remedy: "check that the process runs and that the address is right",
      cause,
    });
  }
}

/** The call may have taken effect, and its answer is lost or late. */
export class LostAnswerError extends RackspanError {
  readonly kind = "answer-lost";
  constructor(what: string, cause?: unknown) {
    super({
      what,
      remedy: "find out whether the call took effect before repeating it",
      cause,
    });
  }
}

/** The other process answered with an error status. */
export class StatusError extends RackspanError {
  readonly kind = "bad-status";
  constructor(
    url: string,
    readonly status: number,
    readonly body: string,
  ) {
    super({
      what: `${url} answered ${status}: ${body.slice(0, 200)}`,
      remedy: "see the other process's log",
    });
  }
}

/** The answer does not have the expected shape. */
export class BadAnswerError extends RackspanError {
  readonly kind = "bad-answer";
  constructor(url: string, cause: unknown) {
    super({
      what: `${url} answered with an unexpected shape: ${String(cause)}`,
      remedy: "check that both processes have compatible versions",
      cause,
    });
  }
}

/** A typed error that the other process reported for a call. */
export class RemoteError extends RackspanError {
  readonly kind = "remote";
  constructor(
    readonly remoteKind: string,
    what: string,
    remedy: string,
  ) {
    super({ what, remedy });
  }
}
