/**
 * Stand-in of the worker on one host: successive incarnations at one address. It follows
 * PROTOCOL.md, "Running tasks" and "Service discovery": a lease on its own clock, fencing
 * tokens, ends that are listed until they are acknowledged, and a guard of its capacity.
 *
 * The payload of a job is JSON: `ms` says how long each of its tasks works, `lasts` that they
 * are lasting ones, which work until they are stopped unless `ms` is given, `fails` that they
 * fail in the end, `gang` how many members their gang has.
 */

import { createServer } from "node:http";
import { once } from "node:events";
import { performance } from "node:perf_hooks";
import {
  clearInterval,
  clearTimeout,
  setInterval,
  setTimeout,
} from "node:timers";

const HEARTBEAT_MS = 1_100;
/** A lasting task is at work after this start. */
const LASTING_START_MS = 200;
const MAX_LISTED_ENDS = 500;

/** `STEP` of a task's name `JOB.TIME.STEP.INDEX`, with the job and the time. */
export const stepOf = (task) => task.split(".").slice(0, 3).join(".");

/** One life of the worker. */
class Incarnation {
  runs = new Map();
  highestRun = new Map();
  ends = [];
  endCount = 0;
  token = 0;
  leaseUntil = 0;
  waiting = new Set();
  isOver = false;
  startedAt = performance.now();

  constructor(worker, id) {
    this.worker = worker;
    this.id = id;
    this.lapseTimer = setInterval(() => this.expire(), 20);
  }

  get clock() {
    return Math.floor(performance.now() - this.startedAt) + 1_000;
  }

  close() {
    this.isOver = true;
    clearInterval(this.lapseTimer);
    for (const run of this.runs.values()) {
      clearTimeout(run.timer);
      this.worker.note("lost", run);
      if (run.gang) this.worker.gangs.leave(run);
    }
    this.runs.clear();
    for (const wake of this.waiting) wake();
  }

  expire() {
    if (this.runs.size === 0 || this.clock < this.leaseUntil) return;
    for (const key of [...this.runs.keys()]) this.end(key, "lapsed");
  }

  end(key, how) {
    const run = this.runs.get(key);
    if (!run) return;
    clearTimeout(run.timer);
    this.runs.delete(key);
    this.endCount += 1;
    this.ends.push([this.endCount, run.task, run.run, how, ""]);
    this.worker.note(how, run);
    if (run.gang) this.worker.gangs.leave(run);
    for (const wake of [...this.waiting]) wake();
  }

  extendLease(until = 0) {
    const granted = Math.min(until, this.clock + this.worker.longestLeaseMs);
    this.leaseUntil = Math.max(this.leaseUntil, granted);
  }

  isFenced(token = 0) {
    if (token < this.token) return true;
    this.token = token;
    return false;
  }

  usedOf(name) {
    let sum = 0;
    for (const { demand } of this.runs.values()) sum += demand[name] ?? 0;
    return sum;
  }

  start(order) {
    const { task, run_id: run, spec, deadline_ms } = order;
    if (this.worker.isUnhealthy) {
      this.worker.note("refused-unhealthy", { task, run });
      return [503, {}];
    }
    if (this.isFenced(order.fencing_token)) return this.refuse("fence");
    const key = `${task}#${run}`;
    if (this.runs.has(key)) return this.ok();
    this.extendLease(deadline_ms);
    if (run <= (this.highestRun.get(task) ?? 0)) return this.refuse("old");
    if (deadline_ms <= this.clock) return this.refuse("late");
    if (!this.worker.isPermitted(order.ticket, task, this.id)) {
      this.worker.note("refused-ticket", { task, run });
      return this.refuse("ticket");
    }
    const work = JSON.parse(spec);
    const demand = { cpu: work.cpu ?? 0, mem_mb: work.mem_mb ?? 0 };
    for (const name of Object.keys(demand)) {
      const left = this.worker.capacity[name] - this.usedOf(name);
      if (demand[name] > left) return this.refuse("room");
    }
    this.highestRun.set(task, run);
    const { ms = 500, lasts = false, fails = false } = work;
    const begun = { task, run, demand, ms, lasts, at: this.clock };
    begun.endAs = (how) => this.end(key, how);
    this.runs.set(key, begun);
    this.worker.note("began", begun);
    const workMs = lasts && work.ms === undefined ? undefined : ms;
    if (work.gang) this.worker.gangs.join(begun, work.gang, workMs);
    else if (workMs !== undefined)
      begun.timer = setTimeout(
        () => begun.endAs(fails ? "failed" : "done"),
        ms,
      );
    return this.ok();
  }

  stop({ task, run_id: run, fencing_token }) {
    if (this.isFenced(fencing_token)) return this.refuse("fence");
    this.highestRun.set(task, Math.max(run, this.highestRun.get(task) ?? 0));
    this.end(`${task}#${run}`, "stopped");
    return this.ok();
  }

  async hold({ fencing_token, last_seen = 0, deadline_ms, wait_ms = 0 }) {
    if (this.isFenced(fencing_token)) return this.refuse("fence");
    this.extendLease(deadline_ms);
    this.ends = this.ends.filter(([number]) => number > last_seen);
    if (this.ends.length === 0 && wait_ms > 0) await this.waitForEnd(wait_ms);
    const running = [...this.runs.values()].map((run) => this.rowOf(run));
    return this.ok({ running, finished: this.ends.slice(0, MAX_LISTED_ENDS) });
  }

  /** The percentage is a whole number, as in the example of PROTOCOL.md. */
  rowOf({ task, run, ms, lasts, at, demand }) {
    const workedMs = this.clock - at;
    const percent = lasts
      ? Math.min(100, (workedMs / LASTING_START_MS) * 100)
      : Math.min(99, (workedMs / ms) * 100);
    return [task, run, "", Math.floor(percent), demand.cpu];
  }

  waitForEnd(ms) {
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        this.waiting.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, ms);
      this.waiting.add(wake);
    });
  }

  ok(more = {}) {
    return [200, { clock_ms: this.clock, ...more }];
  }

  refuse(reason) {
    return [409, { clock_ms: this.clock, reason }];
  }
}

export class Worker {
  /** Whether starts are answered with 503, and nothing is done. */
  isUnhealthy = false;
  /** Whether nothing answers at its address, as if the link was cut. */
  current;
  lives = 0;
  sequence = 0;
  server;
  sockets = new Set();
  heartbeatTimer;

  constructor({
    host,
    zone,
    service,
    app,
    inbox,
    labels,
    capacity,
    longestLeaseMs,
    isPermitted,
    gangs,
    note,
  }) {
    Object.assign(this, {
      host,
      zone,
      service,
      app,
      inbox,
      labels,
      capacity,
      longestLeaseMs,
      isPermitted,
      gangs,
    });
    this.note = (event, { task, run }) =>
      note({ event, task, run, host, life: this.current?.id });
  }

  get runningTasks() {
    return [...(this.current?.runs.values() ?? [])].map(({ task }) => task);
  }

  /** Starts the next incarnation and registers it. */
  async start() {
    this.lives += 1;
    this.current = new Incarnation(this, `i-${this.host}-${this.lives}`);
    this.server = createServer((req, res) => void this.answer(req, res));
    this.server.on("connection", (socket) => {
      this.sockets.add(socket);
      socket.on("close", () => this.sockets.delete(socket));
    });
    const [address, port] = this.app.split(":");
    this.server.listen(Number(port), address);
    await once(this.server, "listening");
    void this.beat();
    this.heartbeatTimer = setInterval(() => void this.beat(), HEARTBEAT_MS);
  }

  /** Ends the incarnation without a word: its runs end, and its connections are reset. */
  async crash() {
    const { server, current } = this;
    if (!current) return;
    clearInterval(this.heartbeatTimer);
    current.close();
    this.current = undefined;
    const closed = once(server, "close");
    server.close();
    for (const socket of this.sockets) socket.resetAndDestroy();
    await closed;
  }

  async answer(req, res) {
    const { current } = this;
    try {
      const chunks = [];
      for await (const chunk of req) chunks.push(chunk);
      const [status, body] = await this.dispatch(current, req, chunks.join(""));
      if (current.isOver) return;
      res.writeHead(status, { "content-type": "application/json" });
      res.end(JSON.stringify(body));
    } catch {
      res.destroy();
    }
  }

  dispatch(current, req, text) {
    if (req.headers["rackspan-expect-instance"] !== current.id)
      return [421, {}];
    const body = JSON.parse(text);
    current.expire();
    switch (req.url) {
      case "/-/run-start":
        return current.start(body);
      case "/-/run-stop":
        return current.stop(body);
      case "/-/hold":
        return current.hold(body);
      case "/-/pace":
        return current.isFenced(body.fencing_token)
          ? current.refuse("fence")
          : current.ok();
      default:
        return [404, {}];
    }
  }

  async beat() {
    const { current } = this;
    if (!current) return;
    this.sequence += 1;
    const body = JSON.stringify({
      service: this.service,
      address: this.app,
      zone: this.zone,
      version: "v1",
      slots: 8,
      state: "ready",
      cold_left_ms: 0,
      capacity: { ...this.capacity, gpu: 0 },
      labels: this.labels,
      clock_ms: current.clock,
      seq: this.sequence,
    });
    const url = `http://${this.inbox}/-/instances/${current.id}`;
    // A side that is down gets the next heartbeat.
    await globalThis
      .fetch(url, { method: "PUT", body })
      .then((answer) => answer.arrayBuffer())
      .catch(() => undefined);
  }
}
