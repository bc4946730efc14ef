/** Generates the load of the demo: requests, keyed requests, watches and jobs. */

import {
  Caller,
  EventStreamClient,
  waitUntil,
  type Site,
} from "@rackspan/harness";
import type { Scenario } from "./scenarios.js";
import { RequestTally } from "./RequestTally.js";

const QUICK_CALLERS = 12;
const QUICK_PAUSE_MS = 4;
const KEYS = 30;
const JOBS = 20;
const CANCELLED_JOBS = 2;

export class DemoLoad {
  readonly quick = new RequestTally();
  readonly once = new RequestTally();
  readonly replays = new RequestTally();
  readonly keys: string[] = [];
  readonly watches: EventStreamClient[] = [];
  jobsSubmitted = 0;
  jobsCancelled = 0;
  jobsRefused = 0;
  private stopping = false;
  private readonly caller = new Caller();
  private nextEntryIndex = 0;

  constructor(
    private readonly site: Site,
    private readonly scenario: Scenario,
  ) {}

  /** Sends quick requests from several callers until `stopQuick` is called. */
  async runQuick(): Promise<void> {
    const callers = Array.from({ length: QUICK_CALLERS }, () =>
      this.runQuickCaller(),
    );
    await Promise.all(callers);
  }

  stopQuick(): void {
    this.stopping = true;
  }

  /** Sends one request for each key and repeats it at the next entry. */
  async runOnce(): Promise<void> {
    for (let index = 0; index < KEYS; index += 1) {
      const key = `${this.scenario.example}-key-${index}`;
      this.keys.push(key);
      await this.sendOnce(key, this.once);
      await waitUntil("the outcome is on the log", () => this.hasOutcome(key));
      await this.sendOnce(key, this.replays);
    }
  }

  async submitJobs(
    writeJobs: (jobs: readonly unknown[]) => string,
  ): Promise<void> {
    const { operator } = this.site;
    const jobs = Array.from({ length: JOBS }, (_, index) => this.job(index));
    const path = writeJobs(jobs);
    await operator.runOrThrow("submit", path);
    this.jobsSubmitted = JOBS;
    for (let index = 0; index < CANCELLED_JOBS; index += 1) {
      const unit = `job/${this.jobName(JOBS - 1 - index)}`;
      const { code } = await operator.run("cancel", unit);
      if (code === 0) this.jobsCancelled += 1;
    }
    const impossible = {
      ...this.job(JOBS),
      resources: { processors: 1_000, memoryMiB: 1 },
    };
    const { code } = await operator.run("submit", writeJobs([impossible]));
    if (code !== 0) this.jobsRefused += 1;
  }

  async openWatches(count: number): Promise<void> {
    for (let index = 0; index < count; index += 1) {
      const watch = new EventStreamClient((lastEventId) => {
        const after: Record<string, string> =
          lastEventId === undefined
            ? {}
            : { "last-event-id": String(lastEventId) };
        return this.caller.open(`${this.nextUrl()}${this.scenario.watchPath}`, {
          headers: after,
        });
      });
      await watch.start();
      this.watches.push(watch);
    }
  }

  close(): void {
    for (const watch of this.watches) watch.close();
    this.caller.close();
  }

  /** Returns the URL of the next ready entry, as the platform's load balancer selects it. */
  private nextUrl(): string {
    const ready = [...this.site.entries.values()].filter(
      (entry) => entry.notReadyReason() === undefined,
    );
    this.nextEntryIndex += 1;
    const entry = ready[this.nextEntryIndex % ready.length];
    if (!entry) throw new Error("no entry is ready");
    return entry.url;
  }

  private async runQuickCaller(): Promise<void> {
    while (!this.stopping) {
      await this.send(this.scenario.quickPath, this.quick, {});
      await new Promise((resolve) => setTimeout(resolve, QUICK_PAUSE_MS));
    }
  }

  private async sendOnce(key: string, tally: RequestTally): Promise<void> {
    await this.send(this.scenario.oncePath, tally, {
      method: "POST",
      body: `tally of ${key}`,
      headers: { "idempotency-key": key },
    });
  }

  private async send(
    path: string,
    tally: RequestTally,
    options: Parameters<Caller["call"]>[1],
  ): Promise<void> {
    tally.sent += 1;
    try {
      tally.record(await this.caller.call(`${this.nextUrl()}${path}`, options));
    } catch {
      tally.broken += 1;
    }
  }

  private hasOutcome(key: string): boolean {
    return [...this.site.entries.values()].every(({ fold }) => {
      const keys = fold.config
        .services()
        .map(({ name }) => fold.requests.get({ service: name, key }));
      return keys.some((entry) => entry?.answer !== undefined);
    });
  }

  private jobName(index: number): string {
    return `${this.scenario.jobPrefix}-demo-${index}`;
  }

  private job(index: number) {
    const failOnce = index === 0 ? { failOnce: 5 } : {};
    return {
      kind: "job",
      name: this.jobName(index),
      team: this.scenario.jobTeam,
      priority: index % 5 === 0 ? "urgent" : "normal",
      resources: { processors: 2, memoryMiB: 2_048 },
      program: { name: "batch", args: { steps: 15, stepMs: 20, ...failOnce } },
    };
  }
}
