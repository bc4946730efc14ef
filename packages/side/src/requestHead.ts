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

const headerText = (req: IncomingMessage, name: string): string => {
  const value = req.headers[name];
  return typeof value === "string" ? value : "";
};

const parseInteger = (
  value: string,
  min: number,
  max: number,
): number | undefined => {
  const number = Number(value);
  const isValid =
    value !== "" && Number.isInteger(number) && number >= min && number <= max;
  return isValid ? number : undefined;
};

/** @returns undefined when a header is missing or invalid */
export const readRequestHead = (
  req: IncomingMessage,
): RequestHead | undefined => {
  const service = headerText(req, HEADER.SERVICE);
  const request = headerText(req, HEADER.REQUEST_ID);
  const incarnation = headerText(req, HEADER.INCARNATION);
  const attempt = parseInteger(headerText(req, HEADER.ATTEMPT), 1, 1_000);
  const timeoutMs = parseInteger(
    headerText(req, HEADER.TIMEOUT),
    0,
    MAX_TIMEOUT_MS,
  );
  if (!service || !request || !incarnation) return undefined;
  if (attempt === undefined || timeoutMs === undefined) return undefined;
  return {
    service: serviceName(service),
    request: requestId(request),
    incarnation,
    attempt,
    timeoutMs,
    watch: headerText(req, HEADER.CLASS) === "watch",
  };
};
