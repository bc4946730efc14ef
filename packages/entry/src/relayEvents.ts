/**
 * Relays a stream of server-sent events event by event, so that it can continue from
 * another endpoint between two events.
 * Source: the HTML standard, "Server-sent events".
 */

import type { IncomingMessage, ServerResponse } from "node:http";

export type EventsEnd =
  "ended" | "broken" | "moved" | "receiver-gone" | "too-long";

const EVENT_END = /\r\n\r\n|\n\n|\r\r/;
const ID_LINE = /^id:[ ]?([^\0\r\n]*)/m;
const MAX_EVENT_CHARS = 1_048_576;

/** Position of a watch in its event stream; outlives the connection to one endpoint. */
export interface WatchPosition {
  lastEventId: string | undefined;
}

/** Called between two events. */
export type ShouldMove = () => boolean;

const writeAndDrain = (to: ServerResponse, text: string): Promise<void> =>
  new Promise((resolve) => {
    if (to.destroyed || to.write(text)) {
      resolve();
      return;
    }
    const done = (): void => {
      to.off("drain", done);
      to.off("close", done);
      resolve();
    };
    to.on("drain", done);
    to.on("close", done);
  });

/** Ends when the sender ends, when the receiver has disconnected, or when the watch moves. */
export const relayEvents = async (
  from: IncomingMessage,
  to: ServerResponse,
  position: WatchPosition,
  shouldMove: ShouldMove,
): Promise<EventsEnd> => {
  let pending = "";
  from.setEncoding("utf8");
  try {
    for await (const chunk of from as AsyncIterable<string>) {
      pending += chunk;
      for (
        let end = EVENT_END.exec(pending);
        end;
        end = EVENT_END.exec(pending)
      ) {
        const length = end.index + end[0].length;
        const event = pending.slice(0, length);
        pending = pending.slice(length);
        await writeAndDrain(to, event);
        position.lastEventId = ID_LINE.exec(event)?.[1] ?? position.lastEventId;
        if (to.destroyed) return "receiver-gone";
        if (shouldMove()) return "moved";
      }
      if (pending.length > MAX_EVENT_CHARS) return "too-long";
    }
  } catch {
    if (to.destroyed) return "receiver-gone";
    return shouldMove() ? "moved" : "broken";
  }
  if (to.destroyed) return "receiver-gone";
  return from.complete ? "ended" : "broken";
};
