/** Snapshots of the fold, stored on a separate stream in parts of bounded size. */

import { createHash } from "node:crypto";
import { deflateSync, inflateSync } from "node:zlib";
import { decode, encode } from "@msgpack/msgpack";
import { z } from "zod";
import {
  countSchema,
  freshId,
  offset,
  type Brand,
  type Offset,
} from "@rackspan/common";
import {
  RetentionError,
  type LogEntry,
  type LogService,
} from "@rackspan/ports";
import type { FoldSnapshot } from "./Fold.js";

export const SNAPSHOT_STREAM = "snapshots";
const SNAPSHOT_VERSION = 1;
const PART_BYTES = 256 * 1024;

/** State of the fold after applying all entries below offset `covered`. */
export interface Snapshot {
  readonly covered: Offset;
  readonly state: FoldSnapshot;
}

type SnapshotId = Brand<string, "SnapshotId">;

const partSchema = z.object({
  v: z.literal(SNAPSHOT_VERSION),
  id: z.string().max(100),
  part: z.number().int().min(0),
  parts: z.number().int().min(1).max(10_000),
  covered: countSchema<Offset>(),
  digest: z.string().max(100),
  data: z.custom<Uint8Array>((value) => value instanceof Uint8Array),
});
type Part = z.infer<typeof partSchema>;

const digestOf = (bytes: Uint8Array): string =>
  createHash("sha256").update(bytes).digest("base64");

/** Encodes a snapshot for storage and for the transfer between peers. */
export const encodeSnapshot = ({ covered, state }: Snapshot): Buffer =>
  deflateSync(
    encode({ v: SNAPSHOT_VERSION, covered, state }, { ignoreUndefined: true }),
  );

const snapshotSchema = z.object({
  v: z.literal(SNAPSHOT_VERSION),
  covered: countSchema<Offset>(),
  state: z.custom<FoldSnapshot>((value) => typeof value === "object"),
});

/** @throws when the bytes are not a snapshot of this version */
export const decodeSnapshot = (bytes: Uint8Array): Snapshot =>
  snapshotSchema.parse(decode(inflateSync(bytes)));

const encodePart = (part: Part): Buffer => Buffer.from(encode(part));

const decodePart = (entry: LogEntry): Part | undefined => {
  try {
    return partSchema.parse(decode(entry.data));
  } catch {
    return undefined;
  }
};

export class SnapshotStore {
  private position = offset(0);
  private newestCovered = -1;
  /** Parts by snapshot id, of incomplete snapshots and of the newest complete one. */
  private readonly partsById = new Map<string, Part[]>();

  constructor(private readonly log: LogService) {}

  /**
   * Appends the snapshot part by part.
   * @throws LogUnavailableError or LogAnswerLostError; an incomplete
   *   snapshot is never used
   */
  async write(snapshot: Snapshot): Promise<void> {
    const bytes = encodeSnapshot(snapshot);
    const id = freshId<SnapshotId>();
    const digest = digestOf(bytes);
    const parts = Math.ceil(bytes.length / PART_BYTES);
    for (let part = 0; part < parts; part += 1) {
      const data = bytes.subarray(part * PART_BYTES, (part + 1) * PART_BYTES);
      const message = {
        id,
        part,
        parts,
        digest,
        data,
        covered: snapshot.covered,
      };
      await this.log.append(
        SNAPSHOT_STREAM,
        encodePart({ v: SNAPSHOT_VERSION, ...message }),
      );
    }
  }

  /** Offset that the newest complete snapshot covers; -1 for none. */
  async newestCoveredOffset(): Promise<number> {
    await this.readNewParts();
    return this.newestCovered;
  }

  /** @throws LogUnavailableError */
  async load(): Promise<Snapshot | undefined> {
    await this.readNewParts();
    for (const parts of this.partsById.values()) {
      if (parts[0]?.covered !== this.newestCovered) continue;
      const bytes = joinParts(parts);
      if (bytes) return decodeSnapshot(bytes);
    }
    return undefined;
  }

  private async readNewParts(): Promise<void> {
    for (;;) {
      const page = await this.readPage();
      if (page.entries.length === 0) return;
      for (const entry of page.entries) this.addPart(decodePart(entry));
      this.position = page.next;
    }
  }

  private async readPage() {
    try {
      return await this.log.read(SNAPSHOT_STREAM, {
        from: this.position,
        waitMs: 0,
      });
    } catch (err) {
      if (!(err instanceof RetentionError)) throw err;
      this.position = err.oldest;
      return this.log.read(SNAPSHOT_STREAM, { from: this.position, waitMs: 0 });
    }
  }

  private addPart(part: Part | undefined): void {
    if (!part || part.covered < this.newestCovered) return;
    const parts = this.partsById.get(part.id) ?? [];
    parts.push(part);
    this.partsById.set(part.id, parts);
    if (!joinParts(parts)) return;
    this.newestCovered = part.covered;
    for (const [id, others] of this.partsById) {
      if ((others[0] as Part).covered < part.covered) this.partsById.delete(id);
    }
  }
}

/** Joins the parts of a snapshot; undefined while parts are missing or damaged. */
const joinParts = (parts: readonly Part[]): Buffer | undefined => {
  const expected = (parts[0] as Part).parts;
  if (parts.length < expected) return undefined;
  const byIndex = new Map(parts.map((part) => [part.part, part.data]));
  const ordered: Uint8Array[] = [];
  for (let index = 0; index < expected; index += 1) {
    const data = byIndex.get(index);
    if (!data) return undefined;
    ordered.push(data);
  }
  const bytes = Buffer.concat(ordered);
  return digestOf(bytes) === (parts[0] as Part).digest ? bytes : undefined;
};
