/** Idempotency keys of requests, and the recorded response of each. */

import type { RequestId, ServiceName } from "@rackspan/common";
import { BoundedMap } from "./BoundedMap.js";
import type { RecordOf } from "./records.js";
import type { Rejection } from "./UnitFold.js";

/** Maximum number of keys stored; the oldest are dropped first. */
export const MAX_REQUEST_KEYS = 50_000;

export interface RecordedResponse {
  readonly status: number;
  readonly contentType?: string | undefined;
  /** Absent when the response was too large to record. */
  readonly body?: Uint8Array | undefined;
}

export interface RequestKeyEntry {
  readonly service: ServiceName;
  readonly key: string;
  readonly digest: string;
  /** The request that claimed the key. */
  readonly request: RequestId;
  /** Absent until the response is recorded. */
  readonly answer?: RecordedResponse | undefined;
}

export interface RequestSnapshot {
  readonly keys: readonly RequestKeyEntry[];
}

export interface RequestKeyName {
  readonly service: ServiceName;
  readonly key: string;
}

const mapKey = ({ service, key }: RequestKeyName): string =>
  `${service}\n${key}`;

export class RequestFold {
  private readonly keys = new BoundedMap<string, RequestKeyEntry>(
    MAX_REQUEST_KEYS,
  );

  get(name: RequestKeyName): RequestKeyEntry | undefined {
    return this.keys.get(mapKey(name));
  }

  get size(): number {
    return this.keys.size;
  }

  claim(record: RecordOf<"requestClaim">): Rejection | undefined {
    const holder = this.get(record);
    if (holder && holder.digest !== record.digest) {
      return {
        reason: "key-reused",
        detail: "the key stands for another request",
      };
    }
    if (holder) {
      return { reason: "key-claimed", detail: `held by ${holder.request}` };
    }
    const { service, key, digest, request } = record;
    this.keys.set(mapKey(record), { service, key, digest, request });
    return undefined;
  }

  outcome(record: RecordOf<"requestOutcome">): Rejection | undefined {
    const holder = this.get(record);
    if (holder?.request !== record.request || holder.answer) {
      return { reason: "not-current", detail: "another request holds the key" };
    }
    const { status, contentType, body } = record;
    const answer = { status, contentType, body };
    this.keys.replace(mapKey(record), { ...holder, answer });
    return undefined;
  }

  release(record: RecordOf<"requestRelease">): Rejection | undefined {
    const holder = this.get(record);
    if (holder?.request !== record.request || holder.answer) {
      return { reason: "not-current", detail: "another request holds the key" };
    }
    this.keys.delete(mapKey(record));
    return undefined;
  }

  toSnapshot(): RequestSnapshot {
    return { keys: [...this.keys].map(([, entry]) => entry) };
  }

  restore({ keys }: RequestSnapshot): void {
    for (const entry of keys) this.keys.set(mapKey(entry), entry);
  }
}
