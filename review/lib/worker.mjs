/**
 * Stand-in of one incarnation of a worker, a process of its own. Its only argument is a
 * JSON object. It prints one line of JSON for each event, and follows the protocol page.
 *
 * The `spec` of a task is a JSON object: `ms` is its run time, `lasts` makes it run until
 * it is stopped, `gang` is the number of members that must be present, and `fails` ends
 * each run as `failed`.
 */

import { Buffer } from "node:buffer";
import { createServer, request } from "node:http";
import { performance } from "node:perf_hooks";
import { clearTimeout, setInterval, setTimeout } from "node:timers";

const config = JSON.parse(process.argv[2]);
const { id, service, inbox, listen, capacity, labels, bounds } = config;
const bornAt = performance.now();
const clock = () => Math.floor(performance.now() - bornAt);

const FULL_PERCENT = 100;
const MAX_LISTED_ENDS = 500;
const HEARTBEAT_MS = 1_100;

/** Runs by `task#run`. */
const runs = new Map();
/** The highest run of each task that has started, stopped or ended here. */
const highest = new Map();
let ends = [];
let endCount = 0;
let token = 0;
let leaseUntil = 0;
let lapseTimer;
let sequence = 0;
const waiting = new Set();

const log = (event, fields) =>
  process.stdout.write(
    `${JSON.stringify({ at: Date.now(), worker: id, event, ...fields })}\n`,
  );

const keyOf = ({ task, run_id }) => `${task}#${run_id}`;

const wake = () => {
  for (const each of [...waiting]) each();
};

const checkpointOf = (run) => {
  if (!run.workingSince || !run.saves) return run.saved;
  const worked = clock() - run.workingSince;
  const steps = Math.floor(worked / (bounds.save_s * 1_000));
  if (steps === 0) return run.saved;
  return (run.savedSteps + steps).toString(16).padStart(16, "0");
};

const percentOf = (run) => {
  if (!run.workingSince) return 0;
  if (run.lasts) return FULL_PERCENT;
  const done = (clock() - run.workingSince) / run.ms;
  return Math.min(FULL_PERCENT - 1, Math.floor(FULL_PERCENT * done));
};

const end = (run, how) => {
  const key = keyOf(run);
  if (runs.get(key) !== run) return;
  runs.delete(key);
  clearTimeout(run.timer);
  endCount += 1;
  const saved = how === "done" ? "" : checkpointOf(run);
  ends.push([endCount, run.task, run.run_id, how, saved]);
  log("end", { task: run.task, run: run.run_id, how, number: endCount });
  wake();
};

const lapse = () => {
  if (clock() < leaseUntil) return armLapse();
  for (const run of [...runs.values()]) end(run, "lapsed");
};

const armLapse = () => {
  clearTimeout(lapseTimer);
  lapseTimer = setTimeout(lapse, Math.max(0, leaseUntil - clock()));
};

const extendLease = (deadline) => {
  if (deadline === undefined) return;
  const until = Math.min(deadline, clock() + bounds.hold_max_ms);
  if (until <= leaseUntil) return;
  leaseUntil = until;
  armLapse();
};

const used = () => {
  const sum = { cpu: 0, mem_mb: 0 };
  for (const { cpu, mem_mb } of runs.values()) {
    sum.cpu += cpu;
    sum.mem_mb += mem_mb;
  }
  return sum;
};

const work = (run) => {
  if (run.workingSince !== undefined) return;
  run.workingSince = clock();
  clearTimeout(run.timer);
  log("work", { task: run.task, run: run.run_id });
  if (run.lasts) return;
  run.timer = setTimeout(() => end(run, run.fails ? "failed" : "done"), run.ms);
};

const start = (order) => {
  const { task, run_id, deadline_ms } = order;
  const known = runs.get(keyOf(order));
  if (known) return [200];
  if (run_id <= (highest.get(task) ?? 0)) {
    extendLease(deadline_ms);
    return [409, "old"];
  }
  if (deadline_ms <= clock()) return [409, "late"];
  extendLease(deadline_ms);
  const spec = JSON.parse(order.spec);
  const { cpu = 0, mem_mb = 0 } = spec;
  const sum = used();
  if (sum.cpu + cpu > capacity.cpu || sum.mem_mb + mem_mb > capacity.mem_mb)
    return [409, "room"];
  const saved = order.checkpoint ?? "";
  const run = { task, run_id, ...spec, cpu, mem_mb, saved };
  run.savedSteps = saved === "" ? 0 : Number.parseInt(saved, 16);
  runs.set(keyOf(order), run);
  highest.set(task, run_id);
  log("start", { task, run: run_id, checkpoint: saved });
  if (!spec.gang) {
    work(run);
    return [200];
  }
  run.timer = setTimeout(() => end(run, "alone"), bounds.gang_ms);
  process.send?.({ present: task, run: run_id, size: spec.gang });
  return [200];
};

const stop = ({ task, run_id }) => {
  highest.set(task, Math.max(run_id, highest.get(task) ?? 0));
  const run = runs.get(keyOf({ task, run_id }));
  if (run) setTimeout(() => end(run, "stopped"), bounds.stop_ms / 2);
  return [200];
};

const lists = () => ({
  running: [...runs.values()].map((run) => [
    run.task,
    run.run_id,
    checkpointOf(run),
    percentOf(run),
    run.lasts ? 1 : run.cpu,
  ]),
  finished: ends.slice(0, MAX_LISTED_ENDS),
});

const hold = ({ last_seen, deadline_ms, wait_ms = 0 }, answer) => {
  extendLease(deadline_ms);
  const noted = ends.filter(([number]) => number <= last_seen);
  for (const [number, task, run] of noted) log("noted", { task, run, number });
  ends = ends.filter(([number]) => number > last_seen);
  const finish = () => {
    clearTimeout(timer);
    waiting.delete(finish);
    answer(200, lists());
  };
  const timer = setTimeout(finish, wait_ms);
  if (ends.length > 0) return finish();
  waiting.add(finish);
};

const handle = async (req, res) => {
  const chunks = [];
  for await (const chunk of req) chunks.push(chunk);
  const send = (status, value) => {
    if (res.destroyed) return;
    const body = JSON.stringify(value);
    res.writeHead(status, {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(body),
    });
    res.end(body);
  };
  if (req.method === "GET") return send(200, {});
  const expected = req.headers["rackspan-expect-instance"];
  if (expected !== undefined && expected !== id) return send(421, {});
  const order = JSON.parse(Buffer.concat(chunks).toString());
  const { fencing_token = 0 } = order;
  const answer = (status, value) =>
    send(status, { clock_ms: clock(), ...value });
  if (fencing_token < token) return answer(409, { reason: "fence" });
  token = fencing_token;
  if (req.url === "/-/hold") return hold(order, answer);
  if (req.url === "/-/pace") return answer(200);
  if (req.url !== "/-/run-start" && req.url !== "/-/run-stop")
    return answer(404);
  const [status, reason] =
    req.url === "/-/run-start" ? start(order) : stop(order);
  answer(status, reason && { reason });
};

const heartbeat = () => {
  sequence += 1;
  const body = JSON.stringify({
    service,
    address: listen,
    zone: config.zone,
    version: "v1",
    slots: 8,
    state: "ready",
    cold_left_ms: 0,
    capacity,
    labels,
    clock_ms: clock(),
    seq: sequence,
  });
  const [host, port] = inbox.split(":");
  const req = request({
    host,
    port,
    method: "PUT",
    path: `/-/instances/${id}`,
    headers: {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(body),
    },
    timeout: 1_000,
  });
  req.on("response", (res) => res.resume());
  req.on("timeout", () => req.destroy());
  req.on("error", () => undefined);
  req.end(body);
};

process.on("message", ({ task, run, how }) => {
  const found = runs.get(keyOf({ task, run_id: run }));
  if (!found) return;
  if (how === "work") work(found);
  else end(found, how);
});
process.on("disconnect", () => process.exit());

const server = createServer((req, res) => void handle(req, res));
server.keepAliveTimeout = 0;
const [host, port] = listen.split(":");
server.listen(Number(port), host, () => {
  log("up", {});
  heartbeat();
  setInterval(heartbeat, HEARTBEAT_MS);
});
