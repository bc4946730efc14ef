/** Limits retries to a share of requests, so that they cannot amplify an overload. */

export interface RetryBudgetOptions {
  /** Retries that are added to the budget per request, in [0, 1]. */
  readonly ratio: number;
  /** Maximum retries in the budget. */
  readonly burst: number;
}

export class RetryBudget {
  private tokens: number;

  constructor(private readonly options: RetryBudgetOptions) {
    this.tokens = options.burst;
  }

  /** Adds the share of a new request to the budget. */
  deposit(): void {
    const { ratio, burst } = this.options;
    this.tokens = Math.min(burst, this.tokens + ratio);
  }

  /** @returns whether a retry may be sent; it is then taken from the budget */
  tryWithdraw(): boolean {
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
