/**
 * Problem bodies as of RFC 9457, for every response that does not
 * come from an endpoint.
 */

import type { ServerResponse } from "node:http";
import type { Duplex } from "node:stream";
import { HEADER } from "./headers.js";
import type { Outcome, Reason } from "./outcome.js";

export interface Problem {
  readonly status: number;
  readonly reason: Reason;
  readonly outcome: Outcome;
  readonly detail: string;
  readonly remedy: string;
  readonly requestId?: string;
  /** Seconds after which a retry makes sense, as a whole number. */
  readonly retryAfterS?: number;
}

const PROBLEM_TYPE_PREFIX = "urn:rackspan:problem:";

export const problemBody = (problem: Problem): string =>
  JSON.stringify({
    type: `${PROBLEM_TYPE_PREFIX}${problem.reason}`,
    title: problem.reason,
    status: problem.status,
    detail: problem.detail,
    remedy: problem.remedy,
    outcome: problem.outcome,
    requestId: problem.requestId,
  });

export const problemHeaders = (
  problem: Problem,
  body: string,
): Record<string, string> => {
  const headers: Record<string, string> = {
    "content-type": "application/problem+json",
    "content-length": String(Buffer.byteLength(body)),
    [HEADER.OUTCOME]: problem.outcome,
    [HEADER.REASON]: problem.reason,
  };
  if (problem.requestId) headers[HEADER.REQUEST_ID] = problem.requestId;
  if (problem.retryAfterS !== undefined) {
    headers["retry-after"] = String(problem.retryAfterS);
  }
  return headers;
};

/** Sends a problem; does nothing once a response has been started. */
export const sendProblem = (res: ServerResponse, problem: Problem): void => {
  if (res.headersSent || res.destroyed) return;
  const body = problemBody(problem);
  res.writeHead(problem.status, problemHeaders(problem, body));
  res.end(body);
};

/** Sends a problem on a raw socket and ends it. */
export const endSocketWithProblem = (
  socket: Duplex,
  problem: Problem,
): void => {
  if (socket.destroyed) return;
  const body = problemBody(problem);
  const headers = { ...problemHeaders(problem, body), connection: "close" };
  const lines = Object.entries(headers).map(
    ([name, value]) => `${name}: ${value}`,
  );
  socket.end(
    `HTTP/1.1 ${problem.status} Refused\r\n${lines.join("\r\n")}\r\n\r\n${body}`,
  );
};
