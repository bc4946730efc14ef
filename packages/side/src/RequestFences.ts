/** Records which request attempts have started here, and which are fenced and may never start. */

import type { Clock, Monotonic, RequestId } from "@rackspan/common";

export interface AttemptKey {
  readonly request: RequestId;
  readonly attempt: number;
}

type AttemptState = "started" | "fenced";

interface AttemptRecord {
  readonly state: AttemptState;
  readonly recordedAt: Monotonic;
}

const keyOf = ({ request, attempt }: AttemptKey): string =>
  `${request}#${attempt}`;

export class RequestFences {
  private readonly attempts = new Map<string, AttemptRecord>();
  /** Attempts that arrived up to this time may have been dropped from the map. */
  private droppedUntil: Monotonic = -Infinity;

  constructor(
    private readonly clock: Clock,
    private readonly maxEntries: number,
  ) {}

  /** Records that the attempt starts now, unless it is fenced or has started before. */
  tryStart(attempt: AttemptKey): "started" | "fenced" | "repeated" {
    const key = keyOf(attempt);
    const recorded = this.attempts.get(key);
    if (recorded) return recorded.state === "fenced" ? "fenced" : "repeated";
    this.record(key, "started");
    return "started";
  }

  /**
   * Fences the attempt, so that it never starts here, unless it has started already.
   * @param ageMs milliseconds since the attempt was sent
   * @returns whether the attempt has started here
   */
  fence(attempt: AttemptKey, ageMs: number): "yes" | "no" | "unknown" {
    const key = keyOf(attempt);
    const recorded = this.attempts.get(key);
    if (recorded) return recorded.state === "started" ? "yes" : "no";
    this.record(key, "fenced");
    const sentAt = this.clock.monotonic() - ageMs;
    return sentAt <= this.droppedUntil ? "unknown" : "no";
  }

  private record(key: string, state: AttemptState): void {
    this.attempts.set(key, { state, recordedAt: this.clock.monotonic() });
    if (this.attempts.size <= this.maxEntries) return;
    const [oldest, { recordedAt }] = this.attempts.entries().next().value as [
      string,
      AttemptRecord,
    ];
    this.attempts.delete(oldest);
    this.droppedUntil = recordedAt;
  }
}
