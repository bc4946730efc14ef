/** Parses the headers with which an entry describes a request that it sends to a side. */

import type { IncomingMessage } from "node:http";
import {
  requestId,
  serviceName,
  type RequestId,
  type ServiceName,
} from "@rackspan/common";
import { HEADER } from "@rackspan/protocol";

export interface RequestHead {
  readonly service: ServiceName;
  readonly request: RequestId;
  readonly attempt: number;
  readonly incarnation: string;
  readonly timeoutMs: number;
  /** Whether the request is a watch, whose response stays open: it holds no slot and has no deadline. */
  readonly watch: boolean;
}

const MAX_TIMEOUT_MS = 3_600_000;

const text = (req: IncomingMessage, name: string): string => {
  const value = req.headers[name];
  return typeof value === "string" ? value : "";
};

const wholeNumber = (
  value: string,
  min: number,
  max: number,
): number | undefined => {
  const number = Number(value);
  const fits =
    value !== "" && Number.isInteger(number) && number >= min && number <= max;
  return fits ? number : undefined;
};

/** @returns undefined when a header is missing or invalid */
export const readRequestHead = (
  req: IncomingMessage,
): RequestHead | undefined => {
  const service = text(req, HEADER.SERVICE);
  const request = text(req, HEADER.REQUEST_ID);
  const incarnation = text(req, HEADER.INCARNATION);
  const attempt = wholeNumber(text(req, HEADER.ATTEMPT), 1, 1_000);
  const timeoutMs = wholeNumber(text(req, HEADER.TIMEOUT), 0, MAX_TIMEOUT_MS);
  if (!service || !request || !incarnation) return undefined;
  if (attempt === undefined || timeoutMs === undefined) return undefined;
  return {
    service: serviceName(service),
    request: requestId(request),
    incarnation,
    attempt,
    timeoutMs,
    watch: text(req, HEADER.CLASS) === "watch",
  };
};
