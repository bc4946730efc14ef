/**
 * Stand-in of the platform's metadata store: a log with topics, keyed topics, producers
 * and groups, as far as rackspan calls them. Its answers follow the protocol page.
 */

import { Buffer } from "node:buffer";
import { createServer } from "node:http";
import { setTimeout } from "node:timers";
import { clearTimeout } from "node:timers";
import { URL } from "node:url";

const LENGTH_BYTES = 4;
const PAGE_HEADER_BYTES = 16;
const MAX_ITEMS = 500;
const MAX_PAGE_BYTES = 1_048_576;
const REMEMBERED_ANSWERS = 5;

const encode = ({ raw }) => {
  const length = Buffer.alloc(LENGTH_BYTES);
  length.writeUInt32BE(raw.length);
  return Buffer.concat([length, raw]);
};

const keyOf = (raw) => raw.subarray(1, 1 + raw[0]).toString("utf8");
const valueOf = (raw) => raw.subarray(1 + raw[0]);

class Partition {
  records = [];
  newest = new Map();
  producers = new Map();
  waiting = new Set();
  /** When the last append that was taken is done. */
  busyUntil = 0;

  get end() {
    return this.records.length;
  }

  add(raws, isKeyed) {
    for (const raw of raws) {
      const record = { raw, offset: this.records.length };
      this.records.push(record);
      if (!isKeyed) continue;
      const key = keyOf(raw);
      if (valueOf(raw).length === 0) this.newest.delete(key);
      else this.newest.set(key, record);
    }
    for (const wake of [...this.waiting]) wake();
  }
}

export class Store {
  /** Appends that were refused because of their size, as `topic bytes`. */
  oversized = [];
  topics = new Map();
  groups = new Map();
  sockets = new Set();
  server = createServer((req, res) => void this.handle(req, res));

  /** @param limits the fields of `platform` in the settings */
  constructor(limits) {
    this.limits = limits;
    this.server.keepAliveTimeout = 0;
    this.server.on("connection", (socket) => {
      this.sockets.add(socket);
      socket.on("close", () => this.sockets.delete(socket));
    });
  }

  listen(host) {
    return new Promise((resolve, reject) => {
      this.server.once("error", reject);
      this.server.listen(0, host, () =>
        resolve(`${host}:${this.server.address().port}`),
      );
    });
  }

  close() {
    for (const socket of this.sockets) socket.destroy();
    this.server.close();
  }

  /** Writes a record of the operator. */
  put(topic, key, value) {
    const keyBytes = Buffer.from(key);
    const raw = Buffer.concat([
      Buffer.from([keyBytes.length]),
      keyBytes,
      Buffer.from(JSON.stringify(value)),
    ]);
    this.partition(topic, 0).add([raw], true);
  }

  partition(topic, part) {
    const name = `${topic}/${part}`;
    let partition = this.topics.get(name);
    if (!partition) this.topics.set(name, (partition = new Partition()));
    return partition;
  }

  async handle(req, res) {
    const chunks = [];
    for await (const chunk of req) chunks.push(chunk);
    const body = Buffer.concat(chunks);
    const url = new URL(req.url, "http://store");
    const answer = (status, value) => {
      const bytes = Buffer.isBuffer(value)
        ? value
        : Buffer.from(JSON.stringify(value ?? {}));
      res.writeHead(status, { "content-length": bytes.length });
      res.end(bytes);
    };
    const query = Object.fromEntries(url.searchParams);
    switch (`${req.method} ${url.pathname}`) {
      case "POST /-/log-append":
        return this.append(query, body, answer);
      case "GET /-/log-read":
        return this.read(query, answer, res);
      case "GET /-/log-newest":
        return this.readNewest(query, answer);
      case "POST /-/log-join":
        return this.join(JSON.parse(body.toString()), answer);
      case "POST /-/log-leave":
        return this.leave(JSON.parse(body.toString()), answer);
      case "GET /-/log-owners":
        return this.owners(query, answer);
      default:
        return answer(404);
    }
  }

  append(query, body, answer) {
    const { append_ms, record_bytes, call_bytes } = this.limits;
    const raws = [];
    for (let at = 0; at < body.length;) {
      const start = at + LENGTH_BYTES;
      const end = start + body.readUInt32BE(at);
      raws.push(body.subarray(start, end));
      at = end;
    }
    const largest = Math.max(0, ...raws.map(({ length }) => length));
    if (largest > record_bytes || body.length > call_bytes) {
      this.oversized.push({ at: Date.now(), topic: query.topic, largest });
      return answer(413, { reason: "size" });
    }
    const partition = this.partition(query.topic, Number(query.part));
    const now = Date.now();
    partition.busyUntil = Math.max(now, partition.busyUntil) + append_ms;
    setTimeout(
      () => this.carryOut(partition, query, raws, answer),
      partition.busyUntil - now,
    );
  }

  carryOut(partition, query, raws, answer) {
    const epoch = Number(query.epoch);
    const seq = Number(query.seq);
    const known = partition.producers.get(query.producer);
    if (known && epoch < known.epoch) return answer(409, { reason: "fenced" });
    const isNew = !known || epoch > known.epoch;
    const producer = isNew ? { epoch, last: undefined, answers: [] } : known;
    if (raws.length === 0) {
      partition.producers.set(query.producer, producer);
      return answer(200, { offset: partition.end, end: partition.end });
    }
    if (producer.last !== undefined && seq !== producer.last + 1) {
      const first = producer.answers.find((each) => each.seq === seq);
      if (first) return answer(200, first.value);
      return answer(409, { reason: "seq", seq: producer.last + 1 });
    }
    const offset = partition.end;
    partition.add(raws, query.topic.startsWith("keyed."));
    const value = { offset, end: partition.end };
    producer.last = seq;
    producer.answers.push({ seq, value });
    if (producer.answers.length > REMEMBERED_ANSWERS) producer.answers.shift();
    partition.producers.set(query.producer, producer);
    return answer(200, value);
  }

  read(query, answer, res) {
    const partition = this.partition(query.topic, Number(query.part));
    const from = Number(query.range_start);
    const maxBytes = Number(query.max_kb ?? 1_024) * 1_024;
    const finish = () => {
      clearTimeout(timer);
      partition.waiting.delete(finish);
      const header = Buffer.alloc(PAGE_HEADER_BYTES);
      header.writeBigUInt64BE(BigInt(partition.end));
      const parts = [header];
      let bytes = 0;
      for (let at = from; at < partition.end; at += 1) {
        const record = encode(partition.records[at]);
        if (bytes > 0 && bytes + record.length > maxBytes) break;
        bytes += record.length;
        parts.push(record);
      }
      if (!res.destroyed) answer(200, Buffer.concat(parts));
    };
    const timer = setTimeout(finish, Number(query.wait_ms ?? 0));
    if (partition.end > from) return finish();
    partition.waiting.add(finish);
    res.on("close", () => partition.waiting.delete(finish));
  }

  readNewest(query, answer) {
    const partition = this.partition(query.topic, Number(query.part));
    const keys = [...partition.newest.keys()].sort();
    const after = query.after_rev;
    const items = [];
    let bytes = 0;
    let more = false;
    for (const key of keys) {
      if (after !== undefined && key <= after) continue;
      const { raw, offset } = partition.newest.get(key);
      const value = valueOf(raw).toString("base64");
      bytes += value.length;
      if (
        items.length >= MAX_ITEMS ||
        (items.length > 0 && bytes > MAX_PAGE_BYTES)
      ) {
        more = true;
        break;
      }
      items.push({ key, value, offset });
    }
    answer(200, { items, more, end: partition.end });
  }

  groupOf(name) {
    let group = this.groups.get(name);
    if (!group)
      this.groups.set(
        name,
        (group = { generation: 0, members: new Map(), owners: new Map() }),
      );
    this.expire(group);
    return group;
  }

  expire(group) {
    const now = Date.now();
    for (const [name, { until }] of [...group.members])
      if (until < now) this.drop(group, name);
  }

  drop(group, name) {
    if (!group.members.delete(name)) return;
    group.generation += 1;
    for (const [part, owner] of [...group.owners])
      if (owner === name) group.owners.delete(part);
    this.deal(group);
  }

  /** Deals the partitions evenly; one that is held stays until its holder gives it up. */
  deal(group) {
    group.targets = new Map();
    const names = [...group.members.keys()].sort();
    for (let part = 0; part < this.limits.parts; part += 1) {
      const target = names[part % names.length];
      group.targets.set(part, target);
      if (target && !group.owners.has(part)) group.owners.set(part, target);
    }
  }

  join({ group: groupName, member, topics, ttl_ms, generation }, answer) {
    const group = this.groupOf(groupName);
    group.topic = topics[0];
    const ttlMs = Math.max(ttl_ms, this.limits.ttl_min_ms);
    const isNew = !group.members.has(member);
    group.members.set(member, { until: Date.now() + ttlMs });
    if (isNew) {
      group.generation += 1;
      this.deal(group);
    }
    if (generation >= group.generation)
      for (const [part, owner] of [...group.owners])
        if (owner === member && group.targets.get(part) !== member)
          group.owners.set(part, group.targets.get(part));
    const parts = [...group.owners]
      .filter(
        ([part, owner]) =>
          owner === member && group.targets.get(part) === member,
      )
      .map(([part]) => [topics[0], part, 0]);
    answer(200, { generation: group.generation, ttl_ms: ttlMs, parts });
  }

  leave({ group: groupName, member }, answer) {
    this.drop(this.groupOf(groupName), member);
    answer(200);
  }

  owners({ group: groupName }, answer) {
    const group = this.groupOf(groupName);
    const parts = [...group.owners].map(([part, owner]) => [
      group.topic,
      part,
      owner,
      0,
    ]);
    answer(200, { parts });
  }
}
