/** Port to the platform's log service: append-only streams with offsets. */

import { RackspanError, type Offset } from "@rackspan/common";

export interface LogEntry {
  readonly offset: Offset;
  readonly data: Buffer;
}

export interface LogPage {
  readonly entries: readonly LogEntry[];
  /** Offset at which the next read continues. */
  readonly next: Offset;
  /** The lowest offset that is still stored. */
  readonly oldest: Offset;
}

export interface ReadOptions {
  readonly from: Offset;
  /** Milliseconds to wait for an entry when there is none yet. */
  readonly waitMs: number;
  readonly signal?: AbortSignal;
}

export interface LogService {
  /**
   * @returns the offset of the new entry
   * @throws LogUnavailableError when the entry was not appended and never will be
   * @throws LogAnswerLostError when the entry may have been appended
   */
  append(stream: string, data: Buffer): Promise<Offset>;
  /**
   * @throws LogUnavailableError when the log cannot be read now
   * @throws RetentionError when `from` is below the oldest stored offset
   */
  read(stream: string, options: ReadOptions): Promise<LogPage>;
}

/** Nothing was appended or read. */
export class LogUnavailableError extends RackspanError {
  readonly kind = "log-unavailable";
  constructor(cause: unknown) {
    super({
      what: "the log service cannot be used now",
      remedy: "wait for the platform's log service to come back, then retry",
      cause,
    });
  }
}

/** The append may have taken effect. */
export class LogAnswerLostError extends RackspanError {
  readonly kind = "log-answer-lost";
  constructor(cause: unknown) {
    super({
      what: "the log service's answer to an append was lost",
      remedy: "read on to see whether the entry is there before repeating it",
      cause,
    });
  }
}

/** The requested entries are no longer stored. */
export class RetentionError extends RackspanError {
  readonly kind = "log-retention";
  constructor(
    stream: string,
    from: Offset,
    readonly oldest: Offset,
  ) {
    super({
      what: `stream ${stream} no longer stores offset ${from}; its oldest is ${oldest}`,
      remedy: "restore from a snapshot or from a peer",
    });
  }
}
