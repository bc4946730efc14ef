/** Stand-in of the clients: submits jobs, asks for their states, retries at other nodes. */

import { Buffer } from "node:buffer";
import { Agent, request } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";

const TIMEOUT_MS = 3_000;
const RETRIES = 4;
const RETRY_MS = 300;

export class Client {
  agent = new Agent({ keepAlive: true });
  next = 0;

  constructor({ site, addresses }) {
    this.site = site;
    this.addresses = addresses;
  }

  /** @returns the status and body; status 0 for silence or a broken connection */
  call(method, id, body, address = this.addresses[0]) {
    const { host, path_prefix } = this.site.route;
    const [hostname, port] = address.split(":");
    const bytes = body === undefined ? undefined : JSON.stringify(body);
    return new Promise((resolve) => {
      const req = request({
        agent: this.agent,
        hostname,
        port,
        method,
        path: `${path_prefix}${id}`,
        headers: {
          host,
          "rackspan-timeout-ms": TIMEOUT_MS,
          ...(bytes === undefined
            ? {}
            : {
                "content-type": "application/json",
                "content-length": Buffer.byteLength(bytes),
              }),
        },
        timeout: TIMEOUT_MS,
      });
      req.on("response", async (res) => {
        const chunks = [];
        try {
          for await (const chunk of res) chunks.push(chunk);
          const text = Buffer.concat(chunks).toString();
          resolve({ status: res.statusCode, text });
        } catch {
          resolve({ status: 0, text: "" });
        }
      });
      req.on("timeout", () => req.destroy(new Error("silence")));
      req.on("error", () => resolve({ status: 0, text: "" }));
      req.end(bytes);
    });
  }

  /** Sends the call, and again to the other nodes until it gets a final answer. */
  async callUntilAnswered(method, id, body) {
    let answer;
    for (let attempt = 0; attempt <= RETRIES; attempt += 1) {
      const address = this.addresses[this.next++ % this.addresses.length];
      answer = await this.call(method, id, body, address);
      const { status, text } = answer;
      this.site.note("client", { method, id, address, status, text });
      if (![0, 429, 500, 502, 503, 504].includes(status)) return answer;
      await sleep(RETRY_MS);
    }
    return answer;
  }

  /** @returns whether the job was accepted */
  async submit(id, job) {
    const { status } = await this.callUntilAnswered("POST", id, job);
    return status >= 200 && status < 300;
  }

  /** @returns the state that is shown, or the status if there is none */
  async stateOf(id) {
    const { status, text } = await this.callUntilAnswered("GET", id);
    return status === 200 ? JSON.parse(text).state : String(status);
  }

  /** Waits until each node answers for the queue, and a job runs to its end. */
  async waitUntilReady(timeoutMs) {
    const until = Date.now() + timeoutMs;
    for (const address of this.addresses) {
      for (;;) {
        const { status } = await this.call("GET", "", undefined, address);
        if (status === 200) break;
        if (Date.now() > until) throw new Error("a node does not get ready");
        await sleep(RETRY_MS);
      }
    }
    const id = "00000000000000aa";
    const spec = JSON.stringify({ ms: 50 });
    const job = { spec, steps: [{ count: 1, cpu: 100, mem_mb: 64 }] };
    if (!(await this.submit(id, job))) throw new Error("no job is accepted");
    while ((await this.stateOf(id)) !== "completed") {
      if (Date.now() > until) throw new Error("no job runs");
      await sleep(RETRY_MS);
    }
  }
}
