/** Client of the log service's HTTP protocol (docs/INTERFACE.md, "Log service"). */

import { z } from "zod";
import { countSchema, offset, type Offset } from "@rackspan/common";
import { ConnectError, JsonHttpClient, StatusError } from "@rackspan/protocol";
import {
  LogAnswerLostError,
  LogUnavailableError,
  RetentionError,
  type LogPage,
  type LogService,
  type ReadOptions,
} from "./logService.js";

const APPEND_TIMEOUT_MS = 3_000;
const READ_MARGIN_MS = 3_000;
const STATUS_GONE = 410;
const STATUS_UNAVAILABLE = 503;

const appendedSchema = z.object({ offset: countSchema<Offset>() });
const pageSchema = z.object({
  entries: z.array(
    z.object({ offset: countSchema<Offset>(), data: z.string() }),
  ),
  next: countSchema<Offset>(),
  oldest: countSchema<Offset>(),
});
const goneSchema = z.object({ oldest: z.number().int().min(0) });

export class HttpLogService implements LogService {
  private readonly http: JsonHttpClient;

  constructor(baseUrl: string) {
    this.http = new JsonHttpClient({ baseUrl });
  }

  async append(stream: string, data: Buffer): Promise<Offset> {
    const path = `/streams/${encodeURIComponent(stream)}/entries`;
    const body = { data: data.toString("base64") };
    const timeoutMs = APPEND_TIMEOUT_MS;
    try {
      const call = { method: "POST", path, body, timeoutMs } as const;
      return (await this.http.call(call, appendedSchema)).offset;
    } catch (err) {
      throw wasNotAppended(err)
        ? new LogUnavailableError(err)
        : new LogAnswerLostError(err);
    }
  }

  async read(stream: string, options: ReadOptions): Promise<LogPage> {
    const { from, waitMs, signal } = options;
    const query = `from=${from}&waitMs=${Math.round(waitMs)}`;
    const path = `/streams/${encodeURIComponent(stream)}/entries?${query}`;
    const timeoutMs = waitMs + READ_MARGIN_MS;
    try {
      const call = { method: "GET", path, timeoutMs, signal } as const;
      const page = await this.http.call(call, pageSchema);
      return { ...page, entries: page.entries.map(decodeEntry) };
    } catch (err) {
      if (err instanceof StatusError && err.status === STATUS_GONE) {
        const { oldest } = goneSchema.parse(JSON.parse(err.body));
        throw new RetentionError(stream, from, offset(oldest));
      }
      throw new LogUnavailableError(err);
    }
  }
}

/** Only these two errors guarantee that the entry was not appended. */
const wasNotAppended = (err: unknown): boolean =>
  err instanceof ConnectError ||
  (err instanceof StatusError && err.status === STATUS_UNAVAILABLE);

const decodeEntry = (entry: { offset: Offset; data: string }) => ({
  offset: entry.offset,
  data: Buffer.from(entry.data, "base64"),
});
