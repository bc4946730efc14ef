/** Header names of the protocol towards callers and between our processes. */

import type { IncomingHttpHeaders } from "node:http";

/** In lower case, as Node's parser gives them. */
export const HEADER = {
  /** Milliseconds left for the request, counted from its arrival. */
  TIMEOUT: "rackspan-timeout-ms",
  REQUEST_ID: "rackspan-request-id",
  /** 1 for the first attempt that is sent on for a request. */
  ATTEMPT: "rackspan-attempt",
  /** `not-run` or `unknown`, on each answer that is not the endpoint's own. */
  OUTCOME: "rackspan-outcome",
  REASON: "rackspan-reason",
  IDEMPOTENCY_KEY: "idempotency-key",
  /** Entry to side: the service whose endpoint must answer. */
  SERVICE: "rackspan-service",
  /** Entry to side: the class of the request, by its route. */
  CLASS: "rackspan-class",
  /** Entry to side: the run of the side process that the request is meant for. */
  INCARNATION: "rackspan-incarnation",
  /** Side to entry: slots in use, piggybacked on each answer. */
  BUSY_SLOTS: "rackspan-busy-slots",
  /** Answer to a repeated key: the recorded outcome of its first use. */
  REPLAYED: "rackspan-replayed",
} as const;

/** Headers that only our own processes may set; dropped from what others send. */
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

/** Source: RFC 9110, section 7.6.1, and the fields it names as obsolete. */
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
 * The end-to-end headers of a message, in their order and spelling.
 * `Trailer` is kept: it names fields that are forwarded with the body.
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
