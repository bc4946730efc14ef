/** The newest configuration of queues; never goes back within one life. */

import {
  describeError,
  Emitter,
  Registry,
  type Logger,
} from "@rackspan/common";
import type { KeyedRecord } from "@rackspan/ports";
import {
  queueKeyOf,
  type QueueKey,
  type QueueSpec,
  type SiteConfig,
} from "./jobModel.js";

/** Reads what the operator has written, in the platform's own form. */
export interface ConfigDecoder {
  /** @throws Error of any kind when the bytes are no configuration */
  decode(value: Buffer): SiteConfig;
}

export const configDecoders = new Registry<
  Readonly<Record<string, never>>,
  ConfigDecoder
>("decoder of configurations");

export const CONFIG_KEY = "config";

export class ConfigHolder {
  readonly changes = new Emitter<SiteConfig>();
  private config: SiteConfig | undefined;
  private queues = new Map<QueueKey, QueueSpec>();
  /** Prefixes by host name, the longest first. */
  private prefixes = new Map<string, readonly string[]>();

  constructor(
    private readonly decoder: ConfigDecoder,
    private readonly logger: Logger,
  ) {}

  get current(): SiteConfig | undefined {
    return this.config;
  }

  queue(key: QueueKey): QueueSpec | undefined {
    return this.queues.get(key);
  }

  /** The queue of the longest prefix with which the path begins. */
  match(hostName: string, path: string): QueueSpec | undefined {
    const prefix = this.prefixes
      .get(hostName)
      ?.find((candidate) => path.startsWith(candidate));
    if (prefix === undefined) return undefined;
    return this.queues.get(queueKeyOf(hostName, prefix));
  }

  take(records: readonly KeyedRecord[]): void {
    for (const { key, value } of records) {
      if (key !== CONFIG_KEY || !value) continue;
      try {
        this.adopt(this.decoder.decode(value));
      } catch (err) {
        this.logger.error("config.unreadable", { error: describeError(err) });
      }
    }
  }

  private adopt(config: SiteConfig): void {
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
