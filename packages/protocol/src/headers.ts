/** Header names of the protocol with callers and between rackspan processes. */

import type { IncomingHttpHeaders } from "node:http";

/** In lower case, as Node's parser returns them. */
export const HEADER = {
  /** Milliseconds left for the request, counted from its arrival. */
  TIMEOUT: "rackspan-timeout-ms",
  REQUEST_ID: "rackspan-request-id",
  /** Number of the attempt for a request, from 1. */
  ATTEMPT: "rackspan-attempt",
  /** `not-run` or `unknown`, on each response that does not come from the endpoint. */
  OUTCOME: "rackspan-outcome",
  REASON: "rackspan-reason",
  IDEMPOTENCY_KEY: "idempotency-key",
  /** Entry to side: the service whose endpoint must answer. */
  SERVICE: "rackspan-service",
  /** Entry to side: the class of the request, by its route. */
  CLASS: "rackspan-class",
  /** Entry to side: the incarnation of the side process for which the request is meant. */
  INCARNATION: "rackspan-incarnation",
  /** Side to entry: number of busy slots, added to each response. */
  BUSY_SLOTS: "rackspan-busy-slots",
  /**
   * Set on the response to a repeated key: it is the recorded outcome of the first use.
   */
  REPLAYED: "rackspan-replayed",
} as const;

/** Headers that only rackspan processes may set; dropped from other senders' messages. */
export const INTERNAL_HEADERS: ReadonlySet<string> = new Set([
  HEADER.OUTCOME,
  HEADER.REASON,
  HEADER.ATTEMPT,
  HEADER.SERVICE,
  HEADER.CLASS,
  HEADER.INCARNATION,
  HEADER.BUSY_SLOTS,
  HEADER.REPLAYED,
]);

/** Source: RFC 9110, section 7.6.1, and the fields that it names as obsolete. */
const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  "connection",
  "keep-alive",
  "proxy-connection",
  "proxy-authenticate",
  "proxy-authorization",
  "te",
  "transfer-encoding",
  "upgrade",
]);

const TRAILER = "trailer";

/** Whether a message has a body, by RFC 9112, section 6. */
export const hasBody = (headers: IncomingHttpHeaders): boolean =>
  headers["transfer-encoding"] !== undefined ||
  (headers["content-length"] ?? "0") !== "0";

/** Flat name, value, name, value list, as in `IncomingMessage.rawHeaders`. */
export type RawHeaders = readonly string[];

const connectionOptions = (raw: RawHeaders): ReadonlySet<string> => {
  const options = new Set<string>();
  for (let i = 0; i + 1 < raw.length; i += 2) {
    if (raw[i]?.toLowerCase() !== "connection") continue;
    for (const option of (raw[i + 1] ?? "").split(",")) {
      options.add(option.trim().toLowerCase());
    }
  }
  return options;
};

export interface ForwardOptions {
  /** Lower-case names to leave out besides the hop-by-hop ones. */
  readonly drop: ReadonlySet<string>;
  /** Headers to add, as a flat list. */
  readonly add: RawHeaders;
}

/**
 * Returns the end-to-end headers of a message in their order and spelling.
 * `Trailer` is kept because it names fields that are forwarded with the body.
 */
export const forwardHeaders = (
  raw: RawHeaders,
  { drop, add }: ForwardOptions,
): string[] => {
  const options = connectionOptions(raw);
  const kept: string[] = [];
  for (let i = 0; i + 1 < raw.length; i += 2) {
    const name = raw[i] as string;
    const lower = name.toLowerCase();
    if (HOP_BY_HOP_HEADERS.has(lower) || drop.has(lower)) continue;
    if (options.has(lower) && lower !== TRAILER) continue;
    kept.push(name, raw[i + 1] as string);
  }
  kept.push(...add);
  return kept;
};
