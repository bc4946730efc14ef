/** Headers and connection of a request from an entry to a side. */

import { Agent } from "node:http";
import type { Incarnation, RequestId, ServiceName } from "@rackspan/common";
import {
  forwardHeaders,
  HEADER,
  INTERNAL_HEADERS,
  type BodyStream,
} from "@rackspan/protocol";
import type { RequestClass } from "@rackspan/state";

export interface SideHeaderValues {
  readonly id: RequestId;
  readonly service: ServiceName;
  readonly class: RequestClass;
  readonly attempt: number;
  readonly incarnation: Incarnation;
  readonly timeoutMs: number;
}

export interface SideHeadersOptions {
  readonly rawHeaders: readonly string[];
  readonly body: Buffer | BodyStream | undefined;
  readonly upgrade: boolean;
  readonly values: SideHeaderValues;
}

const NEVER_FORWARDED = [HEADER.REQUEST_ID, HEADER.TIMEOUT, "expect"] as const;

const DROPPED: ReadonlySet<string> = new Set([
  ...INTERNAL_HEADERS,
  ...NEVER_FORWARDED,
]);
/** The length of a buffered body is set again. */
const DROPPED_WITH_BODY: ReadonlySet<string> = new Set([
  ...DROPPED,
  "content-length",
]);

const headerValue = (
  rawHeaders: readonly string[],
  name: string,
): string | undefined => {
  for (let i = 0; i + 1 < rawHeaders.length; i += 2) {
    if (rawHeaders[i]?.toLowerCase() === name) return rawHeaders[i + 1];
  }
  return undefined;
};

export const sideHeaders = ({
  rawHeaders,
  body,
  upgrade,
  values,
}: SideHeadersOptions): string[] => {
  const add = [
    HEADER.SERVICE,
    values.service,
    HEADER.CLASS,
    values.class,
    HEADER.INCARNATION,
    values.incarnation,
    HEADER.REQUEST_ID,
    values.id,
    HEADER.ATTEMPT,
    String(values.attempt),
    HEADER.TIMEOUT,
    String(values.timeoutMs),
  ];
  if (upgrade) {
    add.push(
      "Connection",
      "upgrade",
      "Upgrade",
      headerValue(rawHeaders, "upgrade") ?? "",
    );
  }
  if (Buffer.isBuffer(body)) {
    add.push("Content-Length", String(body.length));
    return forwardHeaders(rawHeaders, { drop: DROPPED_WITH_BODY, add });
  }
  if (body && headerValue(rawHeaders, "content-length") === undefined) {
    add.push("Transfer-Encoding", "chunked");
  }
  return forwardHeaders(rawHeaders, { drop: DROPPED, add });
};

const sharedAgent = new Agent({ keepAlive: true, keepAliveMsecs: 5_000 });

/**
 * The agent for a request. A keep-alive connection may be closed while a request is being
 * written to it, and then it is unknown whether the request was read. So requests that
 * may run only once use a new connection.
 */
export const agentFor = (request: {
  readonly repeatable: boolean;
  readonly onUpgrade?: unknown;
}): Agent | false =>
  request.repeatable && request.onUpgrade === undefined ? sharedAgent : false;
