/** Forwards the body of a response. An incomplete body is recognisable as such. */

import type { IncomingMessage, ServerResponse } from "node:http";

/** `broken`: the sender aborted. `receiver-gone`: the receiver closed. */
export type RelayResult = "whole" | "broken" | "receiver-gone";

export interface RelayOptions {
  /** Whether to read the response to its end even after the receiver has disconnected. */
  readonly readToEnd?: boolean;
}

/** Forwards the trailers; the head must have been written. */
const forwardTrailers = (from: IncomingMessage, to: ServerResponse): void => {
  const pairs: [string, string][] = [];
  const { rawTrailers } = from;
  for (let i = 0; i + 1 < rawTrailers.length; i += 2) {
    pairs.push([rawTrailers[i] as string, rawTrailers[i + 1] as string]);
  }
  if (pairs.length > 0) to.addTrailers(pairs);
};

/**
 * Streams with back pressure. When the sender aborts, the receiver's connection is
 * destroyed, so that a partial body is never taken for a complete one.
 */
export const relayResponse = (
  from: IncomingMessage,
  to: ServerResponse,
  { readToEnd = false }: RelayOptions = {},
): Promise<RelayResult> =>
  new Promise((resolve) => {
    let ended = false;
    const finish = (end: RelayResult): void => {
      if (ended) return;
      ended = true;
      if (end === "broken") to.destroy();
      if (end === "receiver-gone" && !readToEnd) from.destroy();
      resolve(end);
    };
    const onReceiverGone = (): void => {
      if (!readToEnd || from.complete) return finish("receiver-gone");
      from.on("close", () => finish("receiver-gone"));
      from.unpipe(to);
      from.resume();
    };
    from.on("end", () => {
      if (!from.complete) return finish("broken");
      if (to.destroyed) return;
      forwardTrailers(from, to);
      to.end();
    });
    from.on("error", () => finish("broken"));
    from.on("close", () => {
      if (!from.complete) finish("broken");
    });
    to.on("finish", () => finish("whole"));
    if (to.destroyed) return onReceiverGone();
    to.on("close", onReceiverGone);
    from.pipe(to, { end: false });
  });
