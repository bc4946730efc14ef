/** Opens an upgraded connection between a caller and an endpoint. */

import type { IncomingMessage } from "node:http";
import type { Duplex } from "node:stream";
import type { Clock, Metrics } from "@rackspan/common";
import {
  joinSockets,
  REASON,
  STATUS_SWITCHING_PROTOCOLS,
  type Problem,
} from "@rackspan/protocol";
import { Cancellation, type AttemptLoop } from "./AttemptLoop.js";
import type { CallerRequest } from "./callerRequest.js";

export interface OpenTunnelOptions {
  readonly loop: AttemptLoop;
  readonly metrics: Metrics;
  readonly clock: Clock;
  readonly req: IncomingMessage;
  readonly socket: Duplex;
  readonly head: Buffer;
  readonly request: CallerRequest;
}

/** @returns undefined once the connections are joined, otherwise the problem */
export const openTunnel = async (
  options: OpenTunnelOptions,
): Promise<Problem | undefined> => {
  const { loop, metrics, clock, req, socket, head, request } = options;
  const { id, match, timeoutMs } = request;
  const cancellation = new Cancellation();
  const timer = clock.after(timeoutMs, () => cancellation.cancel("deadline"));
  const onDisconnect = (): void => cancellation.cancel("caller-gone");
  socket.on("close", onDisconnect);
  const outgoing = {
    id,
    service: match.service,
    class: match.route.class,
    repeatable: match.route.repeatable,
    method: req.method ?? "GET",
    path: req.url ?? "/",
    rawHeaders: req.rawHeaders,
    body: undefined,
    deadline: clock.monotonic() + timeoutMs,
    onUpgrade: (
      response: IncomingMessage,
      upstream: Duplex,
      upstreamHead: Buffer,
    ) => {
      metrics.count("tunnels_opened");
      joinSockets({ response: response, socket, head, upstream, upstreamHead });
    },
  };
  try {
    const result = await loop.run(outgoing, cancellation);
    if (result.kind === "refused") return result.problem;
    if (result.response.statusCode === STATUS_SWITCHING_PROTOCOLS) {
      socket.on("close", () => result.release(true));
      return undefined;
    }
    result.release(true);
    result.response.destroy();
    return { ...notSwitched, requestId: id };
  } finally {
    timer.cancel();
    socket.off("close", onDisconnect);
  }
};

const notSwitched: Problem = {
  status: 502,
  reason: REASON.UPGRADE_REFUSED,
  outcome: "unknown",
  detail: "the endpoint answered without switching protocols",
  remedy: "ask the operators of the service whether it takes upgrades",
};
