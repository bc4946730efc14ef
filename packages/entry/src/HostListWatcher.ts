/** Polls the host list, and keeps the last result while the list is unavailable. */

import {
  AbortedError,
  describeError,
  Emitter,
  sleep,
  type Clock,
  type HostId,
  type Logger,
  type Metrics,
} from "@rackspan/common";
import type { HostList, HostRecord } from "@rackspan/ports";

export interface HostListWatcherOptions {
  readonly hostList: HostList;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly everyMs: number;
}

export class HostListWatcher {
  /** Emits the result of each successful read. */
  readonly updated = new Emitter<readonly HostRecord[]>();
  private records: readonly HostRecord[] = [];

  constructor(private readonly options: HostListWatcherOptions) {}

  get latest(): readonly HostRecord[] {
    return this.records;
  }

  /** The entries that are live according to the list. */
  liveEntries(): readonly HostRecord[] {
    return this.records.filter(
      ({ role, state }) => role === "entry" && state === "live",
    );
  }

  liveEntryIds(): readonly HostId[] {
    return this.liveEntries().map(({ host }) => host);
  }

  async run(signal: AbortSignal): Promise<void> {
    const { clock, everyMs } = this.options;
    try {
      for (;;) {
        await this.pollOnce(signal);
        await sleep(clock, everyMs, signal);
      }
    } catch (err) {
      if (!(err instanceof AbortedError)) throw err;
    }
  }

  private async pollOnce(signal: AbortSignal): Promise<void> {
    const { hostList, metrics, logger } = this.options;
    try {
      this.records = await hostList.list(signal);
      this.updated.emit(this.records);
    } catch (err) {
      if (signal.aborted) return;
      metrics.count("host_list_errors");
      logger.warn("hostlist.read-failed", { error: describeError(err) });
    }
  }
}
