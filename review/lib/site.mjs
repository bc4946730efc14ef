/**
 * A small site on loopback addresses: rackspan's own programs, started with the commands
 * of the deploy file, beside stand-ins of the platform's store, workers and clients.
 */

import { spawn } from "node:child_process";
import {
  appendFileSync,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { clearTimeout, setTimeout } from "node:timers";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { Client } from "./client.mjs";
import { Link } from "./link.mjs";
import { renderTemplate } from "./renderTemplate.mjs";
import { Store } from "./store.mjs";

const LIB = dirname(fileURLToPath(import.meta.url));
const ROOT = dirname(dirname(LIB));

/** Bounds of the site `tokachi-coop`, as its sheet gives them. */
export const BOUNDS = {
  contact_ms: 3_000,
  ack_ms: 4_000,
  grace_s: 6,
  hold_max_ms: 6_000,
  stop_ms: 200,
  gang_ms: 3_000,
  cancel_ms: 3_000,
  visible_ms: 3_000,
  status_s: 120,
  save_s: 2,
  harm_ms: 4_000,
};

/** The fields of `platform` in the settings example of the deploy page. */
const PLATFORM = {
  parts: 8,
  append_ms: 4,
  record_bytes: 262_144,
  call_bytes: 2_097_152,
  ttl_min_ms: 1_000,
};

const SERVICE = "huvo11a";
const ZONES = ["obihiro-a", "otofuke-b", "memuro-c"];
const ROUTE = {
  name: "r-3hwrr6x",
  host: "nony24.example",
  path_prefix: "/lohu930/",
  kind: "non_idempotent",
  timeout_ms: 3_000,
  target_latency_ms: 1_000,
  priority: 0,
  service: SERVICE,
  max_attempts: 4,
  stretch: 2,
};

const RESTART_MS = 300;
const READY_TIMEOUT_MS = 20_000;

const freePort = (host) =>
  new Promise((resolve, reject) => {
    const server = createServer();
    server.once("error", reject);
    server.listen(0, host, () => {
      const { port } = server.address();
      server.close(() => resolve(port));
    });
  });

/** The commands of the roles in the deploy file, by machine class. */
const commands = () => {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  const byClass = {};
  for (const body of text.split("[roles.").slice(1)) {
    const field = (name) => new RegExp(`${name} = "([^"]*)"`).exec(body)?.[1];
    byClass[field("on")] = {
      run: field("run").split(" "),
      template: readFileSync(join(ROOT, field("template")), "utf8"),
    };
  }
  return byClass;
};

export class Site {
  /** Ends of rackspan's own processes that the test did not cause. */
  exits = [];
  /** Events of the workers, in the order in which they arrived. */
  events = [];
  folder = mkdtempSync(join(tmpdir(), "rackspan-review-"));
  processes = new Set();
  entries = [];
  sides = [];
  workers = [];
  gangs = new Map();
  links = [];
  isClosing = false;

  /**
   * @param options.record file to which everything is written
   * @param options.hosts number of workers
   * @param options.capacity of each worker
   * @param options.linkMbps rate at which an entry receives from the store; unlimited if absent
   * @param options.gpus accelerators of the first worker, which is of another kind then
   */
  constructor({
    record,
    entries = 2,
    hosts,
    capacity,
    gpus = 0,
    route = {},
    linkMbps,
  }) {
    this.options = { entries, hosts, capacity, gpus, linkMbps };
    this.recordFile = record;
    this.route = { ...ROUTE, ...route };
    writeFileSync(record, "");
    // Addresses of its own for each run, so that runs do not meet.
    const net = 1 + (process.pid % 250);
    this.net = `127.${net}.${1 + (Date.now() % 250)}`;
    this.store = new Store(PLATFORM);
  }

  /** Writes a configuration with the queue of the case, and others that nobody uses. */
  putConfig(version, idleRoutes = 0) {
    const idle = Array.from({ length: idleRoutes }, (_, index) => ({
      ...this.route,
      name: `r-${10_000 + index}`,
      host: `idle${index}.example`,
      path_prefix: `/idle${10_000 + index}/`,
    }));
    const config = {
      version,
      routes: [this.route, ...idle],
      services: [{ name: SERVICE, rejects_overload: true }],
      limits: { max_body_bytes: 262_144 },
    };
    this.store.put("keyed.op", "config", config);
    const bytes = JSON.stringify(config).length;
    this.note("config", { version, routes: idleRoutes + 1, bytes });
  }

  note(event, fields = {}) {
    const line = JSON.stringify({ at: Date.now(), event, ...fields });
    appendFileSync(this.recordFile, `${line}\n`);
  }

  async start() {
    const { entries, hosts } = this.options;
    this.commands = commands();
    this.storeAddress = await this.store.listen(`${this.net}.2`);
    this.putConfig(7);
    this.port = await freePort(`${this.net}.10`);
    const frontPort = await freePort(`${this.net}.10`);
    this.seeds = Array.from(
      { length: entries },
      (_, index) => `${this.net}.${10 + index}:${this.port}`,
    );
    for (let index = 0; index < entries; index += 1)
      await this.startEntry(index, frontPort);
    for (let index = 0; index < hosts; index += 1) await this.startHost(index);
    this.client = new Client({
      site: this,
      addresses: this.entries.map(({ front }) => front),
    });
    await this.client.waitUntilReady(READY_TIMEOUT_MS);
  }

  fields(ip, zone, name) {
    return {
      node_name: name,
      ip,
      zone,
      port_range: [this.port, this.port + 15],
      seeds: this.seeds,
      limits: { cpu_share: 0.675, cores: 1 },
      bounds: BOUNDS,
      platform: { address: this.storeAddress, ...PLATFORM },
    };
  }

  async startEntry(index, frontPort) {
    const ip = `${this.net}.${10 + index}`;
    const name = `frontend-${index + 1}`;
    const front = `${ip}:${frontPort}`;
    const ready_addr = `${ip}:${await freePort(ip)}`;
    const fields = {
      ...this.fields(ip, ZONES[index % ZONES.length], name),
      listen: { front, ready_addr, control_addr: this.seeds[index] },
    };
    fields.platform.address = await this.storeAddressFor(ip);
    const entry = { name, front, ready: ready_addr };
    this.entries.push(entry);
    this.run(entry, this.commands.frontend, fields);
  }

  /** The address at which a machine reaches the store, over its own link. */
  async storeAddressFor(ip) {
    const { linkMbps } = this.options;
    if (linkMbps === undefined) return this.storeAddress;
    const link = new Link(this.storeAddress, linkMbps);
    this.links.push(link);
    return link.listen(ip);
  }

  /** Kills processes of rackspan; they start again after `downMs`. */
  killAll(machines, downMs) {
    this.note("trouble.kill", { names: machines.map(({ name }) => name) });
    for (const machine of machines) {
      machine.isExpected = true;
      machine.downMs = downMs;
      machine.child.kill("SIGKILL");
    }
  }

  async startHost(index) {
    const ip = `${this.net}.${50 + index}`;
    const zone = ZONES[index % ZONES.length];
    const name = `side-${index + 1}`;
    const control_addr = `${ip}:${await freePort(ip)}`;
    const app = `${ip}:${await freePort(ip)}`;
    const fields = {
      ...this.fields(ip, zone, name),
      listen: { control_addr },
      app,
      service: SERVICE,
    };
    const side = { name };
    this.sides.push(side);
    this.run(side, this.commands.side, fields);
    const worker = { index, app, inbox: control_addr, zone, life: 0 };
    this.workers.push(worker);
    this.startWorker(worker);
  }

  /** Starts one of rackspan's processes, and starts it again whenever it ends. */
  run(machine, { run, template }, fields) {
    const file = join(this.folder, `${machine.name}.jsonc`);
    writeFileSync(file, renderTemplate(template, fields));
    const log = openSync(join(this.folder, `${machine.name}.log`), "a");
    const startOnce = () => {
      const [command, ...args] = run;
      const child = spawn(command, args, {
        cwd: ROOT,
        env: {
          PATH: process.env.PATH,
          HOME: process.env.HOME,
          RACKSPAN_CONFIG: file,
        },
        stdio: ["ignore", log, log],
      });
      machine.child = child;
      this.processes.add(child);
      this.note("process.start", { name: machine.name, pid: child.pid });
      child.on("exit", (code, signal) => {
        this.processes.delete(child);
        this.note("process.exit", { name: machine.name, code, signal });
        if (this.isClosing) return;
        if (!machine.isExpected)
          this.exits.push({ at: Date.now(), name: machine.name, code, signal });
        machine.isExpected = false;
        const downMs = machine.downMs ?? RESTART_MS;
        setTimeout(() => !this.isClosing && startOnce(), downMs);
      });
    };
    startOnce();
  }

  startWorker(worker) {
    worker.life += 1;
    const { index, app, inbox, zone, life } = worker;
    const { gpus } = this.options;
    const hasGpus = index === 0 && gpus > 0;
    const id = `i-${index + 1}-${life}`;
    const config = {
      id,
      service: SERVICE,
      inbox,
      listen: app,
      zone,
      capacity: { ...this.options.capacity, gpu: hasGpus ? gpus : 0 },
      labels: [hasGpus ? "b" : "a", `r${(index % ZONES.length) + 1}-1`],
      bounds: BOUNDS,
    };
    const child = spawn(
      "node",
      [join(LIB, "worker.mjs"), JSON.stringify(config)],
      { stdio: ["ignore", "pipe", "inherit", "ipc"] },
    );
    worker.child = child;
    worker.id = id;
    this.processes.add(child);
    let rest = "";
    child.stdout.on("data", (chunk) => {
      const lines = (rest + chunk).split("\n");
      rest = lines.pop();
      for (const line of lines) this.handleEvent(JSON.parse(line), line);
    });
    child.on("message", (message) => this.handlePresent(worker, message));
    child.on("exit", () => {
      this.processes.delete(child);
      this.note("worker.exit", { worker: id });
    });
  }

  handleEvent(event, line) {
    this.events.push(event);
    appendFileSync(this.recordFile, `${line}\n`);
    if (event.event === "end") this.handleMemberEnd(event);
  }

  /** A member of a gang is present; the gang works once all members of one run are. */
  handlePresent(worker, { present: task, run, size }) {
    const key = `${task.replace(/\.\d+$/, "")}#${run}`;
    const gang = this.gangs.get(key) ?? { members: [] };
    this.gangs.set(key, gang);
    gang.members.push({ child: worker.child, task, run });
    if (gang.members.length < size) return;
    gang.isAtWork = true;
    this.tellGang(gang, "work");
    this.note("gang.work", { gang: key });
    this.onGangWork?.(key, gang);
  }

  handleMemberEnd({ task, run, how }) {
    const gang = this.gangs.get(`${task.replace(/\.\d+$/, "")}#${run}`);
    if (!gang || how === "alone" || how === "broken" || gang.isOver) return;
    gang.isOver = true;
    // One end `done` stands for all members.
    if (how !== "done") this.tellGang(gang, "broken");
  }

  /** Ends a gang that works: all members end together. */
  endGang(gang, how) {
    gang.isOver = true;
    this.tellGang(gang, how);
  }

  tellGang({ members }, how) {
    for (const { child, task, run } of members)
      if (child.connected) child.send({ task, run, how });
  }

  /** The worker crashes and says nothing; a new life starts after `downMs`. */
  async crashWorker(index, downMs) {
    const worker = this.workers[index];
    this.note("trouble.crash", { worker: worker.id, downMs });
    worker.child.kill("SIGKILL");
    await sleep(downMs);
    if (!this.isClosing) this.startWorker(worker);
  }

  async close() {
    this.isClosing = true;
    const children = [...this.processes];
    const ended = children.map(
      (child) => new Promise((resolve) => child.once("exit", resolve)),
    );
    for (const child of children) child.kill("SIGKILL");
    await Promise.all(ended);
    for (const link of this.links) link.close();
    this.store.close();
    if (process.env.KEEP_LOGS !== "1")
      rmSync(this.folder, { recursive: true, force: true });
    else console.log(`logs: ${this.folder}`);
  }
}

/**
 * Runs a case and exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
 *
 * @param runCase resolves with what broke the rule, or undefined
 */
export const runAndExit = async (site, limitMs, runCase) => {
  let status = 2;
  const timer = setTimeout(() => {
    console.error("the case has not ended in time");
    void site.close().then(() => process.exit(2));
  }, limitMs);
  try {
    await site.start();
    const broken = await runCase();
    status = broken ? 1 : 0;
    const verdict = broken ?? "the rule held";
    site.note("verdict", { status, verdict, exits: site.exits });
    console.log(verdict);
  } catch (err) {
    site.note("verdict", { status, error: String(err) });
    console.error(err);
  }
  clearTimeout(timer);
  await site.close();
  process.exit(status);
};
