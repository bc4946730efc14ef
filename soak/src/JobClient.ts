/**
 * A caller of the site. It keeps its connections open until the process at the other end
 * has exited, and repeats a call at any entry when the outcome is ambiguous.
 */

import { Agent, request, type IncomingMessage } from "node:http";
import { once } from "node:events";
import { setTimeout as delay } from "node:timers/promises";
import { pickIndex, type Random } from "@rackspan/common";
import { QUEUE } from "./SoakSite.js";

const CALL_TIMES = {
  /** Timeout of one call, milliseconds. */
  timeoutMs: 2_000,
  repeatPauseMs: 100,
  /** How long a call is repeated, milliseconds. */
  repeatForMs: 25_000,
} as const;

export interface JobClientOptions {
  readonly random: Random;
  /** `IP:PORT` of all entries. */
  readonly entries: readonly string[];
}

interface Answer {
  /** HTTP status; 0 when there was no answer. */
  readonly status: number;
  readonly body: string;
}

const isAmbiguous = ({ status }: Answer): boolean =>
  status === 0 || status === 502 || status === 504;

const isRejected = ({ status }: Answer): boolean =>
  status === 429 || status === 503;

export class JobClient {
  private readonly agent = new Agent({ keepAlive: true, maxSockets: 4 });

  constructor(private readonly options: JobClientOptions) {}

  /** @returns whether the job was accepted; undefined when that is unknown */
  async submit(id: string, body: object): Promise<boolean | undefined> {
    let mayBeAccepted = false;
    const text = JSON.stringify(body);
    const deadline = performance.now() + CALL_TIMES.repeatForMs;
    while (performance.now() < deadline) {
      const answer = await this.call("POST", id, text);
      if (answer.status >= 200 && answer.status < 300) return true;
      if (isAmbiguous(answer)) mayBeAccepted = true;
      else if (!mayBeAccepted) return false;
      await delay(CALL_TIMES.repeatPauseMs);
    }
    return undefined;
  }

  /** @returns whether the cancel was acknowledged */
  async cancel(id: string): Promise<boolean> {
    const deadline = performance.now() + CALL_TIMES.repeatForMs;
    while (performance.now() < deadline) {
      const answer = await this.call("DELETE", id);
      if (!isAmbiguous(answer) && !isRejected(answer)) return true;
      await delay(CALL_TIMES.repeatPauseMs);
    }
    return false;
  }

  /** @returns the state of the job, or the HTTP status of any other answer than 200 */
  async stateOf(id: string): Promise<string> {
    const { status, body } = await this.call("GET", id);
    if (status !== 200) return String(status);
    return (JSON.parse(body) as { state: string }).state;
  }

  close(): void {
    this.agent.destroy();
  }

  private async call(
    method: string,
    id: string,
    body?: string,
  ): Promise<Answer> {
    const { entries, random } = this.options;
    const entry = entries[pickIndex(random, entries.length)] ?? "";
    const req = request(`http://${entry}${QUEUE.prefix}${id}`, {
      agent: this.agent,
      method,
      headers: {
        host: QUEUE.hostName,
        "rackspan-timeout-ms": String(CALL_TIMES.timeoutMs),
      },
      signal: AbortSignal.timeout(CALL_TIMES.timeoutMs),
    });
    try {
      req.end(body);
      const [res] = (await once(req, "response")) as [IncomingMessage];
      const chunks: Buffer[] = [];
      for await (const chunk of res) chunks.push(chunk as Buffer);
      const text = Buffer.concat(chunks).toString("utf8");
      return { status: res.statusCode ?? 0, body: text };
    } catch {
      return { status: 0, body: "" };
    }
  }
}
