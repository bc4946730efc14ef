/**
 * Stand-in of the service that tells which workers may run a step (PROTOCOL.md, "Running tasks"):
 * it works on one call after the other, takes `decide_ms` and `each_ms` for each worker named,
 * and hands out tickets that hold for `valid_ms` from its answer on.
 */

import { createServer } from "node:http";
import { once } from "node:events";
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";

const MAX_WAITING = 32;

export class Advice {
  tickets = new Map();
  lastCall = Promise.resolve();
  waiting = 0;

  /** @param note called with a line for the record */
  constructor({ decideMs, eachMs, validMs, note }) {
    Object.assign(this, { decideMs, eachMs, validMs, note });
    this.server = createServer((req, res) => void this.answer(req, res));
  }

  async listen(address) {
    this.server.listen(0, address);
    await once(this.server, "listening");
    return `${address}:${this.server.address().port}`;
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Whether the ticket lets the task start at that life of a worker now. */
  isValid(ticket, task, worker) {
    const issued = this.tickets.get(ticket);
    if (!issued || performance.now() >= issued.until) return false;
    return issued.worker === worker && task.startsWith(`${issued.step}.`);
  }

  async answer(req, res) {
    const chunks = [];
    for await (const chunk of req) chunks.push(chunk);
    const { step, workers } = JSON.parse(chunks.join(""));
    if (this.waiting >= MAX_WAITING) {
      res.writeHead(429).end();
      return;
    }
    const arrivedAt = performance.now();
    this.waiting += 1;
    const before = this.lastCall;
    const own = before.then(() =>
      sleep(this.decideMs + this.eachMs * workers.length),
    );
    this.lastCall = own;
    await own;
    this.waiting -= 1;
    const now = performance.now();
    const good = workers.map((worker) => {
      const ticket = `${worker}|${step}|${Math.round(now)}`;
      this.tickets.set(ticket, { worker, step, until: now + this.validMs });
      return [worker, ticket];
    });
    const tookMs = Math.round(now - arrivedAt);
    this.note(
      `advice ${step}: ${workers.length} workers, answered after ${tookMs} ms`,
    );
    res.writeHead(200, { "content-type": "application/json" });
    res.end(JSON.stringify({ good, valid_ms: this.validMs }));
  }
}
