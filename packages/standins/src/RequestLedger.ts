/** Records which requests the stand-in endpoints executed, and how often. */

export interface RequestRun {
  readonly request: string;
  readonly attempt: string;
  readonly key: string | undefined;
  readonly path: string;
  readonly endpoint: string;
}

export class RequestLedger {
  readonly runs: RequestRun[] = [];
  private readonly byRequest = new Map<string, number>();
  private readonly byKey = new Map<string, number>();

  record(run: RequestRun): void {
    this.runs.push(run);
    this.byRequest.set(run.request, this.runCountOf(run.request) + 1);
    if (run.key) this.byKey.set(run.key, this.runCountOfKey(run.key) + 1);
  }

  runCountOf(request: string): number {
    return this.byRequest.get(request) ?? 0;
  }

  runCountOfKey(key: string): number {
    return this.byKey.get(key) ?? 0;
  }
}
