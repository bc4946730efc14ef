/** A caller's open watch: the numbers of the events it was sent. */

import type { IncomingMessage } from "node:http";

const EVENT_PATTERN = /id: (\d+)\ndata: ([^\n]*)\n\n/g;

export class EventWatch {
  readonly ids: number[] = [];
  /** Endpoints that sent events, in the order of their first one. */
  readonly endpoints = new Set<string>();
  ended = false;

  constructor(private readonly res: IncomingMessage) {
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
    res.on("close", () => (this.ended = true));
    res.on("error", () => (this.ended = true));
  }

  /** Whether the numbers go up by one from the first event on. */
  get isGapless(): boolean {
    return this.ids.every(
      (id, index) => id === (this.ids[0] as number) + index,
    );
  }

  close(): void {
    this.res.destroy();
  }
}
