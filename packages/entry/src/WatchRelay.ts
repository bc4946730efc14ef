/** Relays a watch from its first event to its end, across changes of the endpoint. */

import type { ServerResponse } from "node:http";
import { sleep, type Clock } from "@rackspan/common";
import type {
  AnsweredRequest,
  AttemptLoop,
  Cancellation,
  OutgoingRequest,
} from "./AttemptLoop.js";
import {
  relayEvents,
  type EventsEnd,
  type WatchPosition,
} from "./relayEvents.js";
import type { SideDirectory } from "./SideDirectory.js";

export interface WatchRelayOptions {
  readonly loop: AttemptLoop;
  readonly sides: SideDirectory;
  readonly clock: Clock;
  /** How long to search for another endpoint after the connection of a watch broke. */
  readonly watchResumeMs: number;
  /** Whether this entry is closing its watches. */
  readonly isClosingWatches: () => boolean;
}

/** One caller's watch. */
export interface WatchedRequest {
  readonly outgoing: OutgoingRequest;
  /** The response to the caller; its headers have been sent. */
  readonly res: ServerResponse;
  readonly cancellation: Cancellation;
}

const RETRY_MS = 200;
const STATUS_OK = 200;
const EVENT_STREAM = "text/event-stream";

export const isEventStream = ({ response }: AnsweredRequest): boolean =>
  response.statusCode === STATUS_OK &&
  (response.headers["content-type"] ?? "").startsWith(EVENT_STREAM);

export class WatchRelay {
  private readonly position: WatchPosition = { lastEventId: undefined };

  constructor(
    private readonly options: WatchRelayOptions,
    private readonly request: WatchedRequest,
  ) {}

  /** @param onEnd called at the end of each connection to an endpoint */
  async follow(
    first: AnsweredRequest,
    onEnd: (end: EventsEnd) => void,
  ): Promise<void> {
    const { res } = this.request;
    let current: AnsweredRequest | undefined = first;
    while (current) {
      const end = await this.relayFrom(current);
      onEnd(end);
      if (end === "ended" || this.options.isClosingWatches()) {
        res.end();
        return;
      }
      if (end === "receiver-gone") return;
      current = end === "too-long" ? undefined : await this.resume();
    }
    res.destroy();
  }

  private async relayFrom(current: AnsweredRequest): Promise<EventsEnd> {
    const { sides, isClosingWatches } = this.options;
    const shouldMove = (): boolean =>
      isClosingWatches() || sides.get(current.host)?.leaving !== false;
    const { res } = this.request;
    const end = await relayEvents(
      current.response,
      res,
      this.position,
      shouldMove,
    );
    current.release(end !== "broken");
    current.response.destroy();
    return end;
  }

  /** Connects to another endpoint, and continues after the last relayed event. */
  private async resume(): Promise<AnsweredRequest | undefined> {
    const { clock, loop, watchResumeMs } = this.options;
    const { outgoing, cancellation } = this.request;
    const deadline = clock.monotonic() + watchResumeMs;
    const rawHeaders = withLastEventId(
      outgoing.rawHeaders,
      this.position.lastEventId,
    );
    while (!cancellation.reason && clock.monotonic() < deadline) {
      const result = await loop.run(
        { ...outgoing, rawHeaders, deadline },
        cancellation,
      );
      if (result.kind === "answered") {
        if (isEventStream(result)) return result;
        result.release(false);
        result.response.destroy();
      }
      await sleep(clock, RETRY_MS);
    }
    return undefined;
  }
}

const withLastEventId = (
  rawHeaders: readonly string[],
  lastEventId: string | undefined,
): readonly string[] => {
  if (lastEventId === undefined) return rawHeaders;
  const kept: string[] = [];
  for (let i = 0; i + 1 < rawHeaders.length; i += 2) {
    const name = rawHeaders[i] as string;
    if (name.toLowerCase() === "last-event-id") continue;
    kept.push(name, rawHeaders[i + 1] as string);
  }
  return [...kept, "Last-Event-ID", lastEventId];
};
