/** Stand-in of the log service: append-only in-memory streams that can be truncated. */

import { ChangeSignal, SystemClock } from "@rackspan/common";
import { z } from "zod";
import { JsonServer, type JsonAnswer, type JsonRequest } from "./JsonServer.js";

const MAX_PAGE_ENTRIES = 500;
const STREAM_PATH = /^\/streams\/([^/]+)\/entries$/;
const appendSchema = z.object({ data: z.string() });

interface Stream {
  oldest: number;
  readonly entries: string[];
  readonly grown: ChangeSignal;
}

export class LogStandin {
  readonly server = new JsonServer((request) => this.handle(request));
  /** Number of appends that took effect. */
  appends = 0;
  appendedBytes = 0;
  private readonly streams = new Map<string, Stream>();
  private readonly clock = new SystemClock();

  /** Removes entries of the stream below the offset, as retention does. */
  truncateBefore(name: string, oldest: number): void {
    const stream = this.stream(name);
    const dropped = Math.min(
      stream.entries.length,
      Math.max(0, oldest - stream.oldest),
    );
    stream.entries.splice(0, dropped);
    stream.oldest += dropped;
  }

  /** The offset of the next entry that is appended to the stream. */
  endOffset(name: string): number {
    const stream = this.stream(name);
    return stream.oldest + stream.entries.length;
  }

  /** Raw entries of a stream that have not been removed. */
  entries(name: string): readonly Buffer[] {
    return this.stream(name).entries.map((data) => Buffer.from(data, "base64"));
  }

  private stream(name: string): Stream {
    let stream = this.streams.get(name);
    if (!stream) {
      stream = { oldest: 0, entries: [], grown: new ChangeSignal() };
      this.streams.set(name, stream);
    }
    return stream;
  }

  private handle({
    method,
    url,
    body,
  }: JsonRequest): Promise<JsonAnswer> | JsonAnswer {
    const name = STREAM_PATH.exec(url.pathname)?.[1];
    if (!name) return { status: 404, body: { error: "unknown path" } };
    const stream = this.stream(decodeURIComponent(name));
    if (method === "POST")
      return this.append(stream, appendSchema.parse(body).data);
    const from = Number(url.searchParams.get("from") ?? 0);
    const waitMs = Number(url.searchParams.get("waitMs") ?? 0);
    return this.read(stream, from, waitMs);
  }

  private append(stream: Stream, data: string): JsonAnswer {
    const offset = stream.oldest + stream.entries.length;
    stream.entries.push(data);
    this.appends += 1;
    this.appendedBytes += data.length;
    stream.grown.notify();
    return { body: { offset } };
  }

  private async read(
    stream: Stream,
    from: number,
    waitMs: number,
  ): Promise<JsonAnswer> {
    const end = (): number => stream.oldest + stream.entries.length;
    if (from >= end() && waitMs > 0)
      await stream.grown.wait(this.clock, waitMs);
    const { oldest } = stream;
    if (from < oldest) return { status: 410, body: { oldest } };
    const entries = stream.entries
      .slice(from - oldest, from - oldest + MAX_PAGE_ENTRIES)
      .map((data, index) => ({ offset: from + index, data }));
    return { body: { entries, next: from + entries.length, oldest } };
  }
}
