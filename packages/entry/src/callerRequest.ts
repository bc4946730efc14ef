/** Parses and validates the head of a caller's request. */

import type { IncomingMessage } from "node:http";
import { freshId, type RequestId } from "@rackspan/common";
import { hasBody, HEADER, REASON, type Problem } from "@rackspan/protocol";
import type { RouteMatch, RouteTable } from "./RouteTable.js";

const MAX_TIMEOUT_MS = 3_600_000;
const MAX_KEY_LENGTH = 200;
const KEY_PATTERN = /^[\x21-\x7e]+$/;
const WHOLE_NUMBER = /^\d{1,9}$/;

export interface CallerRequest {
  readonly id: RequestId;
  readonly match: RouteMatch;
  readonly timeoutMs: number;
  /** The caller's idempotency key for a request that may run only once. */
  readonly key: string | undefined;
  readonly hasBody: boolean;
  /** Declared size of the body, if any. */
  readonly contentLength: number | undefined;
}

export type ParsedRequest =
  | { readonly ok: true; readonly request: CallerRequest }
  | { readonly ok: false; readonly problem: Problem };

const refuse = (
  status: number,
  reason: Problem["reason"],
  detail: string,
  remedy: string,
): ParsedRequest => ({
  ok: false,
  problem: { status, reason, outcome: "not-run", detail, remedy },
});

const headerText = (req: IncomingMessage, name: string): string | undefined => {
  const value = req.headers[name];
  return Array.isArray(value) ? value.join(",") : value;
};

/** Checks everything that can be checked without the body. */
export const parseCallerRequest = (
  req: IncomingMessage,
  routes: RouteTable,
): ParsedRequest => {
  const match = routes.find(req.url ?? "/");
  if (!match) {
    const detail = `no service is declared for ${(req.url ?? "").slice(0, 200)}`;
    return refuse(
      404,
      REASON.UNKNOWN_SERVICE,
      detail,
      "use a path of a declared route",
    );
  }
  const timeout = headerText(req, HEADER.TIMEOUT);
  if (timeout !== undefined && !WHOLE_NUMBER.test(timeout)) {
    const detail = `${HEADER.TIMEOUT} is not a whole number of milliseconds`;
    return refuse(400, REASON.BAD_REQUEST, detail, "send for example 500");
  }
  if (timeout !== undefined && Number(timeout) === 0) {
    return refuse(
      504,
      REASON.DEADLINE,
      "the request has no time left",
      "allow more time",
    );
  }
  const key = headerText(req, HEADER.IDEMPOTENCY_KEY);
  if (
    key !== undefined &&
    (key.length > MAX_KEY_LENGTH || !KEY_PATTERN.test(key))
  ) {
    const detail = `${HEADER.IDEMPOTENCY_KEY} must be 1 to ${MAX_KEY_LENGTH} visible characters`;
    return refuse(
      400,
      REASON.BAD_REQUEST,
      detail,
      "send a random key, as a UUID",
    );
  }
  const declared = headerText(req, "content-length");
  const contentLength = declared === undefined ? undefined : Number(declared);
  if (contentLength !== undefined && contentLength > match.route.maxBodyBytes) {
    const detail = `the body has ${contentLength} bytes, the route takes ${match.route.maxBodyBytes}`;
    return refuse(413, REASON.BODY_TOO_LARGE, detail, "send a smaller body");
  }
  return {
    ok: true,
    request: {
      id: freshId<RequestId>(),
      match,
      timeoutMs: Math.min(
        MAX_TIMEOUT_MS,
        Number(timeout ?? match.route.timeoutMs),
      ),
      key,
      hasBody: hasBody(req.headers),
      contentLength,
    },
  };
};
