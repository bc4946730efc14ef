/** Bounds retries to a share of requests, so that they cannot feed an overload. */

export interface RetryBudgetOptions {
  /** Retries that each request earns, in [0, 1]. */
  readonly ratio: number;
  /** Most retries that can be saved up. */
  readonly burst: number;
}

export class RetryBudget {
  private tokens: number;

  constructor(private readonly options: RetryBudgetOptions) {
    this.tokens = options.burst;
  }

  /** A request came in. */
  deposit(): void {
    const { ratio, burst } = this.options;
    this.tokens = Math.min(burst, this.tokens + ratio);
  }

  /** @returns whether a retry may be sent; it is then paid for */
  tryWithdraw(): boolean {
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
