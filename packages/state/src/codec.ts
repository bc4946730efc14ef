/** Codec of log entries: batches of records of one writer, encoded as msgpack. */

import { decode, encode } from "@msgpack/msgpack";
import { z } from "zod";
import { idSchema, RackspanError, type Incarnation } from "@rackspan/common";
import { RECORD_VERSION, recordSchema, type LogRecord } from "./records.js";

/** Records of one writer, numbered consecutively from `first`. */
export interface Batch {
  readonly writer: Incarnation;
  readonly first: number;
  readonly records: readonly LogRecord[];
}

/** An entry that this version cannot read. */
export class UnreadableEntryError extends RackspanError {
  readonly kind = "unreadable-entry";
  constructor(what: string, cause?: unknown) {
    super({
      what,
      remedy:
        "update every process to the newest version; if it persists, another program writes to this stream",
      cause,
    });
  }
}

const envelopeSchema = z.object({
  v: z.number().int(),
  w: idSchema<Incarnation>(),
  n: z.number().int().min(0),
  r: z.array(z.unknown()),
});

export const encodeBatch = ({ writer, first, records }: Batch): Buffer => {
  const envelope = { v: RECORD_VERSION, w: writer, n: first, r: records };
  const bytes = encode(envelope, { ignoreUndefined: true });
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
};

/** @throws UnreadableEntryError */
export const decodeBatch = (data: Buffer): Batch => {
  try {
    const envelope = envelopeSchema.parse(decode(data));
    if (envelope.v > RECORD_VERSION) {
      throw new UnreadableEntryError(`entry of version ${envelope.v}`);
    }
    const records = z.array(recordSchema).parse(envelope.r);
    return { writer: envelope.w, first: envelope.n, records };
  } catch (err) {
    if (err instanceof UnreadableEntryError) throw err;
    throw new UnreadableEntryError("an entry cannot be decoded", err);
  }
};
