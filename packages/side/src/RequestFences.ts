/** Which request attempts have started here, and which never may. */

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
  /** Attempts that came before this moment may have been forgotten. */
  private horizon: Monotonic = -Infinity;

  constructor(
    private readonly clock: Clock,
    private readonly kept: number,
  ) {}

  /** Notes that the attempt starts now, unless it must not. */
  tryStart(name: AttemptKey): "started" | "fenced" | "repeated" {
    const key = nameOf(name);
    const known = this.fates.get(key);
    if (known) return known.fate === "fenced" ? "fenced" : "repeated";
    this.remember(key, "started");
    return "started";
  }

  /**
   * Makes sure that the attempt never starts here, unless it did.
   * @param ageMs milliseconds since it was sent
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
