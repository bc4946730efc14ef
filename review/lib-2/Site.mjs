/**
 * A small deployment for the scripts of a case: the bundled programs as processes of their own
 * on loopback addresses, started with the commands and the settings of `deploy/`, beside
 * stand-ins of the platform's store and of the workers.
 */

import { spawn } from "node:child_process";
import {
  closeSync,
  mkdtempSync,
  openSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { request } from "node:http";
import { tmpdir } from "node:os";
import { dirname, join, resolve } from "node:path";
import { performance } from "node:perf_hooks";
import { setTimeout } from "node:timers";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { Buffer } from "node:buffer";
import { brand, processLoopbackAddress, SystemClock } from "@rackspan/common";
import { freePort, StoreServer } from "@rackspan/platform-standins";
import { MemoryStore } from "@rackspan/standins";
import { Advice } from "./Advice.mjs";
import { Gangs } from "./Gangs.mjs";
import { Worker } from "./Worker.mjs";

const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), "../..");

/** The commands of `deploy/system.toml`. */
const ENTRY_COMMAND = [
  "--max-old-space-size=160",
  "target/rackspan.mjs",
  "entry",
];
const SIDE_COMMAND = [
  "--max-old-space-size=96",
  "target/rackspan-side.mjs",
  "run",
];

/** A process that has ended is started again after this delay. */
const RESTART_MS = 700;
const FIRST_SIDE_ADDRESS = 51;
const ADVICE_ADDRESS = 253;
const SERVICE = "kaigi";
const ZONES = ["zone-a", "zone-b", "zone-c"];

/** Whether the disruption of the case is played. */
export const isTroubled = process.env.TROUBLE !== "0";

/** Bounds of the co-operative's site, as `SYSTEM.md` lists them. */
export const BOUNDS = {
  contactMs: 3_000,
  cancelMs: 3_000,
  visibleMs: 3_000,
  harmMs: 4_000,
  holdMaxMs: 6_000,
  stopMs: 200,
  finishMs: 14_000,
};

const routeOf = (name, { priority = 2, maxAttempts = 4, advice } = {}) => ({
  name,
  host: "calls.example",
  path_prefix: `/${name}/`,
  kind: "non_idempotent",
  timeout_ms: 3_000,
  target_latency_ms: 1_000,
  priority,
  service: SERVICE,
  max_attempts: maxAttempts,
  stretch: 2,
  ...(advice && {
    advice: {
      decide_ms: advice.decideMs,
      each_ms: advice.eachMs,
      valid_ms: advice.validMs,
    },
  }),
});

export class Site {
  entries = [];
  sides = [];
  workers = [];
  lines = [];
  /** Starts and ends that workers have seen, in order. */
  events = [];
  /** Ends of processes that nobody had asked for. */
  exits = [];
  startedAt = performance.now();
  folder = mkdtempSync(join(tmpdir(), "review-"));
  store = new MemoryStore(new SystemClock());
  storeServer = new StoreServer(this.store);
  gangs = new Gangs();
  /** All ports that were handed out. */
  ports = new Set();
  isStopping = false;

  constructor({
    entries = 3,
    hosts = 6,
    queues = ["minutes"],
    labelsOf,
    advice,
    recordFile,
  }) {
    Object.assign(this, {
      entryCount: entries,
      hostCount: hosts,
      queues,
      adviceOptions: advice,
      recordFile,
    });
    this.labelsOf = labelsOf ?? (() => ["a"]);
  }

  get now() {
    return Math.round(performance.now() - this.startedAt);
  }

  record(text) {
    this.lines.push(`${String(this.now).padStart(7)} ${text}`);
  }

  async start() {
    this.storeAddress = await this.storeServer.listen();
    if (this.adviceOptions) await this.startAdvice();
    this.callersPort = await this.newPort();
    this.sidesPort = await this.newPort();
    const routes = this.queues.map((queue) =>
      typeof queue === "string" ? routeOf(queue) : routeOf(queue.name, queue),
    );
    await this.writeAsOperator({
      version: 1,
      routes,
      services: [{ name: SERVICE, max_conns: 64, rejects_overload: true }],
      limits: { max_body_bytes: 262_144 },
    });
    for (let at = 0; at < this.entryCount; at += 1) await this.startEntry(at);
    for (let at = 0; at < this.hostCount; at += 1) await this.startHost(at);
    await this.untilReady();
  }

  /** `freePort` can give one port twice, and several listeners share an address here. */
  async newPort() {
    const port = await freePort();
    if (this.ports.has(port)) return this.newPort();
    this.ports.add(port);
    return port;
  }

  async writeAsOperator(config) {
    await this.store.append({
      topic: brand("keyed.op"),
      records: [{ key: "config", value: Buffer.from(JSON.stringify(config)) }],
      stamp: { producer: "operator", epoch: 1, sequence: config.version },
      timeoutMs: 0,
    });
  }

  async startAdvice() {
    const note = (text) => this.record(text);
    this.advice = new Advice({ ...this.adviceOptions, note });
    const ip = processLoopbackAddress(ADVICE_ADDRESS);
    this.adviceAddress = await this.advice.listen(ip);
  }

  addressOfEntry(at) {
    return `${processLoopbackAddress(1 + at)}:${this.callersPort}`;
  }

  async startEntry(at) {
    const name = `entry-${at + 1}`;
    const ip = processLoopbackAddress(1 + at);
    const entry = this.manage(name, ENTRY_COMMAND, {
      entry: name,
      availabilityZone: ZONES[at % ZONES.length],
      platform: {
        client: "hosted",
        store: this.storeAddress,
        limits: { recordBytes: 262_144, callBytes: 2_097_152 },
        ...(this.adviceAddress && { permits: this.adviceAddress }),
      },
      callers: this.addressOfEntry(at),
      readiness: `${ip}:${await this.newPort()}`,
      sides: `${ip}:${this.sidesPort}`,
      metrics: `${ip}:${await this.newPort()}`,
      leases: {
        leastLeadershipTtlMs: 1_000,
        workerLeaseMs: BOUNDS.holdMaxMs,
        stopMs: BOUNDS.stopMs,
      },
      processor: { share: 0.675, speed: 1 },
      graceSeconds: 6,
      keepEndedSeconds: 120,
      peers: { forwardsRequests: true },
      scheduling: {
        policy: {
          recordsPlacements: true,
          forecastsServingLoad: true,
          consolidatesServing: true,
        },
      },
    });
    this.entries.push(entry);
  }

  async startHost(at) {
    const name = `side-${at + 1}`;
    const ip = processLoopbackAddress(FIRST_SIDE_ADDRESS + at);
    const zone = ZONES[at % ZONES.length];
    const app = `${ip}:${await this.newPort()}`;
    const inbox = `${ip}:${await this.newPort()}`;
    const worker = new Worker({
      host: name,
      zone,
      service: SERVICE,
      app,
      inbox,
      labels: this.labelsOf(at),
      capacity: { cpu: 32_000, mem_mb: 128_000 },
      longestLeaseMs: BOUNDS.holdMaxMs,
      gangs: this.gangs,
      isPermitted: (...start) => this.advice?.isValid(...start) ?? true,
      note: (event) => this.noteRun(event),
    });
    this.sides.push(
      this.manage(name, SIDE_COMMAND, {
        host: name,
        availabilityZone: zone,
        platform: { client: "hosted", store: this.storeAddress },
        worker: { address: app, service: SERVICE, fencesLives: true },
        inbox,
        leases: {
          outOfTouchMs: BOUNDS.contactMs,
          cancelMs: BOUNDS.cancelMs,
          stopMs: BOUNDS.stopMs,
          lastingGapMs: 6_000,
          longestMs: BOUNDS.holdMaxMs,
        },
        pacing: { tailGraceMs: BOUNDS.harmMs },
        metrics: `${ip}:${await this.newPort()}`,
        graceSeconds: 6,
        entries: this.entries.map((_entry, index) =>
          this.addressOfEntry(index),
        ),
        entryPort: this.sidesPort,
      }),
    );
    this.workers.push(worker);
    await worker.start();
  }

  noteRun({ event, task, run, host, life }) {
    this.events.push({ at: this.now, event, task, run, host });
    this.record(`worker ${host} ${life ?? ""} ${event} ${task}#${run}`);
  }

  /** Starts a program, and starts it again whenever it has ended. */
  manage(name, command, settings) {
    const file = join(this.folder, `${name}.json`);
    writeFileSync(file, JSON.stringify(settings, undefined, 2));
    const managed = {
      name,
      file,
      command,
      child: undefined,
      log: join(this.folder, `${name}.log`),
    };
    this.spawnProcess(managed);
    return managed;
  }

  spawnProcess(managed) {
    const log = openSync(managed.log, "a");
    const child = spawn(process.execPath, managed.command, {
      cwd: ROOT,
      stdio: ["ignore", log, log],
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        RACKSPAN_CONFIG: managed.file,
      },
    });
    closeSync(log);
    managed.child = child;
    this.record(`process ${managed.name} started`);
    child.once("exit", (code, signal) => {
      managed.child = undefined;
      this.record(
        `process ${managed.name} ended code=${code} signal=${signal}`,
      );
      if (this.isStopping) return;
      if (!managed.isExpectedToEnd)
        this.exits.push({ at: this.now, name: managed.name });
      managed.isExpectedToEnd = false;
      setTimeout(
        () => this.isStopping || this.spawnProcess(managed),
        RESTART_MS,
      );
    });
  }

  kill(managed, signal = "SIGKILL") {
    if (!managed.child) return;
    managed.isExpectedToEnd = true;
    this.record(`process ${managed.name} gets ${signal}`);
    managed.child.kill(signal);
  }

  /** The entry that owns the leadership according to the store. */
  async leader() {
    const owner = (await this.store.owner()) ?? "";
    return this.entries.find(({ name }) => owner.startsWith(`${name}|`));
  }

  async untilReady() {
    const until = this.now + 20_000;
    while (this.now < until) {
      const answers = await Promise.all(
        this.entries.map((_entry, at) =>
          this.call(at, "GET", "/", { isQuiet: true }),
        ),
      );
      // A path without a queue is answered with 404 once there is a configuration.
      if (
        answers.every(({ status }) => status === 404) &&
        (await this.hasAllHosts())
      )
        return;
      await sleep(200);
    }
    throw new Error("the site did not get ready");
  }

  async hasAllHosts() {
    const hosts = this.store.recordsOf(brand("keyed.hosts"));
    return new Set(hosts.map(({ key }) => key)).size >= this.hostCount;
  }

  /** Calls an entry as a client does. `status` is 0 if there was no answer. */
  call(at, method, path, { body, timeoutMs = 3_000, isQuiet = false } = {}) {
    const [host, port] = this.addressOfEntry(at).split(":");
    const text = body === undefined ? undefined : JSON.stringify(body);
    return new Promise((resolveCall) => {
      const finish = (status, value) => {
        if (!isQuiet) {
          const said = value === undefined ? "" : ` ${JSON.stringify(value)}`;
          this.record(
            `client ${method} ${path} at entry-${at + 1} -> ${status}${said}`,
          );
        }
        resolveCall({ status, body: value });
      };
      const req = request(
        {
          host,
          port,
          method,
          path,
          agent: false,
          headers: {
            host: "calls.example",
            "content-type": "application/json",
            "rackspan-timeout-ms": String(timeoutMs),
            ...(text === undefined
              ? {}
              : { "content-length": String(Buffer.byteLength(text)) }),
          },
          timeout: timeoutMs,
        },
        (res) => {
          const chunks = [];
          res.on("data", (chunk) => chunks.push(chunk));
          res.on("error", () => finish(0));
          res.on("end", () => {
            const answer = Buffer.concat(chunks).toString("utf8");
            finish(
              res.statusCode,
              answer === "" ? undefined : JSON.parse(answer),
            );
          });
        },
      );
      req.on("timeout", () => req.destroy(new Error("timeout")));
      req.on("error", () => finish(0));
      req.end(text);
    });
  }

  /** Submits a job, and repeats that at the next entry until it is accepted. */
  async submit(queue, id, job, { firstEntry = 0, tries = 5 } = {}) {
    this.record(`client sends job ${id} to ${queue}: ${JSON.stringify(job)}`);
    for (let at = 0; at < tries; at += 1) {
      const entry = (firstEntry + at) % this.entryCount;
      const answer = await this.call(entry, "POST", `/${queue}/${id}`, {
        body: job,
      });
      if (answer.status >= 200 && answer.status < 300) return true;
      await sleep(200);
    }
    return false;
  }

  /** The state of a job at the first entry that tells it. */
  async stateOf(queue, id) {
    for (let at = 0; at < this.entryCount; at += 1) {
      const answer = await this.call(at, "GET", `/${queue}/${id}`, {
        timeoutMs: 1_000,
      });
      if (answer.status === 200) return answer.body.state;
      if (answer.status === 410) return "no such job";
    }
    return undefined;
  }

  async stop() {
    this.isStopping = true;
    for (const { child } of [...this.entries, ...this.sides])
      child?.kill("SIGKILL");
    for (const worker of this.workers) await worker.crash();
    this.advice?.close();
    await this.storeServer.close();
    if (this.recordFile)
      writeFileSync(this.recordFile, `${this.lines.join("\n")}\n`);
    if (process.env.KEEP_LOGS) process.stdout.write(`logs: ${this.folder}\n`);
    else rmSync(this.folder, { recursive: true, force: true });
  }
}

let nextId = 0;

/** An id as clients choose it: 16 hex digits. */
export const newJobId = () => {
  nextId += 1;
  return (Date.now() * 1_000 + nextId)
    .toString(16)
    .padStart(16, "0")
    .slice(-16);
};

/** A script stops by itself after this time, also on a machine that is slow. */
const MAX_CASE_MS = 112_000;

const failAfter = async (ms) => {
  await sleep(ms);
  throw new Error(`not over after ${ms} ms`);
};

/** How a script ends: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export const runCase = async (site, play) => {
  let code = 2;
  try {
    const played = site.start().then(() => play(site));
    const broken = await Promise.race([played, failAfter(MAX_CASE_MS)]);
    site.record(broken ? `RULE BROKEN: ${broken}` : "the rule held");
    process.stdout.write(`${broken ? `broken: ${broken}` : "held"}\n`);
    code = broken ? 1 : 0;
  } catch (err) {
    site.record(`the case could not run: ${err.stack}`);
    process.stdout.write(`could not run: ${err.stack}\n`);
  }
  await site.stop();
  process.exit(code);
};
