/**
 * Holds the newest configuration of queues; its version never
 * decreases while the process runs.
 */

import { Emitter, type Logger } from "@rackspan/common";
import {
  queueKeyOf,
  type QueueKey,
  type QueueSpec,
  type SiteConfig,
} from "./jobModel.js";

export class ConfigHolder {
  readonly changes = new Emitter<SiteConfig>();
  private config: SiteConfig | undefined;
  private queues = new Map<QueueKey, QueueSpec>();
  /** Path prefixes by host name, the longest first. */
  private prefixes = new Map<string, readonly string[]>();

  constructor(private readonly logger: Logger) {}

  get current(): SiteConfig | undefined {
    return this.config;
  }

  getQueue(key: QueueKey): QueueSpec | undefined {
    return this.queues.get(key);
  }

  /** The queue with the longest prefix that the path starts with. */
  matchQueue(hostName: string, path: string): QueueSpec | undefined {
    const prefix = this.prefixes
      .get(hostName)
      ?.find((candidate) => path.startsWith(candidate));
    if (prefix === undefined) return undefined;
    return this.queues.get(queueKeyOf(hostName, prefix));
  }

  /** Ignores a configuration that is not newer than the active one. */
  applyIfNewer(config: SiteConfig): void {
    const before = this.config?.version;
    if (before !== undefined && config.version <= before) {
      this.logger.info("config.passed-over", {
        version: config.version,
        inForce: before,
      });
      return;
    }
    this.config = config;
    this.queues = new Map(config.queues.map((queue) => [queue.key, queue]));
    this.prefixes = groupPrefixes(config.queues);
    this.logger.info("config.in-force", {
      version: config.version,
      before,
      queues: config.queues.length,
    });
    this.changes.emit(config);
  }
}

const groupPrefixes = (
  queues: readonly QueueSpec[],
): Map<string, readonly string[]> => {
  const byHost = new Map<string, string[]>();
  for (const { hostName, pathPrefix } of queues) {
    const prefixes = byHost.get(hostName) ?? [];
    prefixes.push(pathPrefix);
    byHost.set(hostName, prefixes);
  }
  for (const prefixes of byHost.values()) {
    prefixes.sort((a, b) => b.length - a.length);
  }
  return byHost;
};
