/** Follows a watch as a caller: reconnects as the HTML standard's EventSource does. */

import type { IncomingMessage } from "node:http";

/** Opens a connection that resumes after the given event, if there is one. */
export type OpenEventStream = (
  lastEventId: number | undefined,
) => Promise<IncomingMessage>;

const EVENT_PATTERN = /id: (\d+)\ndata: ([^\n]*)\n\n/g;
const RECONNECT_MS = 50;

export class EventStreamClient {
  readonly ids: number[] = [];
  /** Endpoints that sent events, in the order of their first event. */
  readonly endpoints = new Set<string>();
  /** How often the connection ended and was reopened. */
  reconnects = 0;
  private closed = false;
  private res: IncomingMessage | undefined;

  constructor(private readonly openWatch: OpenEventStream) {}

  /** Opens the watch, and reopens it whenever its connection ends. */
  async start(): Promise<void> {
    await this.connect();
  }

  /** Whether the event ids are consecutive. */
  get isGapless(): boolean {
    return this.ids.every(
      (id, index) => id === (this.ids[0] as number) + index,
    );
  }

  close(): void {
    this.closed = true;
    this.res?.destroy();
  }

  private async connect(): Promise<void> {
    const res = await this.openWatch(this.ids.at(-1));
    this.res = res;
    this.read(res);
    res.on("error", () => undefined);
    res.on("close", () => {
      if (!this.closed) this.reconnectSoon();
    });
  }

  private reconnectSoon(): void {
    this.reconnects += 1;
    setTimeout(() => {
      if (this.closed) return;
      this.connect().catch(() => this.reconnectSoon());
    }, RECONNECT_MS).unref();
  }

  private read(res: IncomingMessage): void {
    let pending = "";
    res.setEncoding("utf8");
    res.on("data", (chunk: string) => {
      pending += chunk;
      let used = 0;
      for (const match of pending.matchAll(EVENT_PATTERN)) {
        this.ids.push(Number(match[1]));
        this.endpoints.add(match[2] as string);
        used = match.index + match[0].length;
      }
      pending = pending.slice(used);
    });
  }
}
