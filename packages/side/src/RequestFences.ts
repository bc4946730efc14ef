/** Records which request attempts have started here, and which are fenced and may never start. */

import type { Clock, Monotonic, RequestId } from "@rackspan/common";

export interface AttemptKey {
  readonly request: RequestId;
  readonly attempt: number;
}

type Fate = "started" | "fenced";

interface Remembered {
  readonly fate: Fate;
  readonly at: Monotonic;
}

const nameOf = ({ request, attempt }: AttemptKey): string =>
  `${request}#${attempt}`;

export class RequestFences {
  private readonly fates = new Map<string, Remembered>();
  /** Attempts that arrived up to this time may have been dropped from the map. */
  private horizon: Monotonic = -Infinity;

  constructor(
    private readonly clock: Clock,
    private readonly kept: number,
  ) {}

  /** Records that the attempt starts now, unless it is fenced or has started before. */
  tryStart(name: AttemptKey): "started" | "fenced" | "repeated" {
    const key = nameOf(name);
    const known = this.fates.get(key);
    if (known) return known.fate === "fenced" ? "fenced" : "repeated";
    this.remember(key, "started");
    return "started";
  }

  /**
   * Fences the attempt, so that it never starts here, unless it has started already.
   * @param ageMs milliseconds since the attempt was sent
   * @returns whether the attempt has started here
   */
  fence(name: AttemptKey, ageMs: number): "yes" | "no" | "unknown" {
    const key = nameOf(name);
    const known = this.fates.get(key);
    if (known) return known.fate === "started" ? "yes" : "no";
    this.remember(key, "fenced");
    const sentAt = this.clock.monotonic() - ageMs;
    return sentAt <= this.horizon ? "unknown" : "no";
  }

  private remember(key: string, fate: Fate): void {
    this.fates.set(key, { fate, at: this.clock.monotonic() });
    if (this.fates.size <= this.kept) return;
    const [oldest, { at }] = this.fates.entries().next().value as [
      string,
      Remembered,
    ];
    this.fates.delete(oldest);
    this.horizon = at;
  }
}
