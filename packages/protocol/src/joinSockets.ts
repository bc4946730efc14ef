/** Connects the two sockets of an upgraded request. Source: RFC 9110, section 7.8. */

import type { IncomingMessage } from "node:http";
import type { Duplex } from "node:stream";

export interface JoinSocketsOptions {
  /** The response that switched protocols. */
  readonly response: IncomingMessage;
  readonly socket: Duplex;
  /** Bytes that followed the head of the request. */
  readonly head: Buffer;
  readonly upstream: Duplex;
  /** Bytes that followed the head of the response. */
  readonly upstreamHead: Buffer;
}

const upgradeResponseHead = (response: IncomingMessage): string => {
  const lines = [
    `HTTP/1.1 ${response.statusCode} ${response.statusMessage ?? ""}`,
  ];
  const { rawHeaders } = response;
  for (let i = 0; i + 1 < rawHeaders.length; i += 2) {
    lines.push(`${rawHeaders[i]}: ${rawHeaders[i + 1]}`);
  }
  return `${lines.join("\r\n")}\r\n\r\n`;
};

/** Writes the response head, then forwards bytes both ways until either end closes. */
export const joinSockets = (options: JoinSocketsOptions): void => {
  const { response: answer, socket, head, upstream, upstreamHead } = options;
  socket.on("close", () => upstream.destroy());
  upstream.on("error", () => upstream.destroy());
  upstream.on("close", () => socket.destroy());
  socket.write(upgradeResponseHead(answer));
  if (upstreamHead.length > 0) socket.write(upstreamHead);
  if (head.length > 0) upstream.write(head);
  socket.pipe(upstream);
  upstream.pipe(socket);
};
