/**
 * Port to the platform's store: topics of records with offsets, and groups
 * whose members share the partitions of a topic. Keyed topics keep the newest
 * record of each key permanently.
 */

import { RackspanError, type Brand, type Epoch } from "@rackspan/common";

/** Name of a topic; the store client defines how a keyed topic is marked. */
export type TopicName = Brand<string, "TopicName">;

export interface KeyedRecord {
  readonly key: string;
  /** Absent when the key was deleted. */
  readonly value: Buffer | undefined;
}

/** Bytes that the record takes in an append: its key, its value and their lengths. */
export const recordBytes = ({ key, value }: KeyedRecord): number =>
  RECORD_HEADER_BYTES + Buffer.byteLength(key) + (value?.length ?? 0);

/** The length of the record (4 bytes) and of its key (1 byte). */
const RECORD_HEADER_BYTES = 5;

/** The length of a key is stored in one byte. */
export const MAX_KEY_BYTES = 255;

/** Sizes of what the store accepts, bytes. */
export interface RecordLimits {
  /** Of one record; see recordBytes. */
  readonly recordBytes: number;
  /** Of all records of one append. */
  readonly callBytes: number;
}

/** Limits that the platform documents as an example; used if it states none. */
export const DEFAULT_RECORD_LIMITS: RecordLimits = {
  recordBytes: 262_144,
  callBytes: 2_097_152,
};

export interface StoredRecord extends KeyedRecord {
  readonly offset: number;
}

/**
 * Identifies an append, so that the store persists it only once and
 * rejects replaced writers.
 */
export interface ProducerStamp {
  readonly producer: string;
  readonly epoch: number;
  /** Increases by one with each append of this producer and epoch. */
  readonly sequence: number;
}

export interface AppendRequest {
  readonly topic: TopicName;
  /** May be empty: the store then only records the epoch of the stamp. */
  readonly records: readonly KeyedRecord[];
  readonly stamp: ProducerStamp;
  /** Milliseconds without progress after which the append fails. */
  readonly timeoutMs: number;
  /**
   * Cancels the append. If `onSending` was not called before, nothing is sent and the
   * append fails with StoreRefusedError.
   */
  readonly signal?: AbortSignal;
  /** Every store client calls it before the first byte of the append is sent. */
  readonly onSending?: () => void;
  /** Called when a part of a large append was sent. */
  readonly onProgress?: () => void;
}

export interface ReadRequest {
  readonly topic: TopicName;
  /** Offset of the first record to read. */
  readonly from: number;
  /** Milliseconds to wait for a record when there is none yet. */
  readonly waitMs: number;
  readonly signal?: AbortSignal;
  /** Called when a part of the answer was received. */
  readonly onProgress?: () => void;
}

export interface RecordPage {
  readonly records: readonly StoredRecord[];
  /** Offset at which the next read continues. */
  readonly next: number;
  /** Number of records left out because their keys cannot be read; none when absent. */
  readonly unreadable?: number;
  /**
   * Keys whose stored value cannot be read, so that they are not taken for
   * deleted ones; none when absent.
   */
  readonly unreadableKeys?: readonly string[];
}

/** Newest records of a topic, in the order of their keys. */
export interface NewestPage extends RecordPage {
  /** The key after which the next page begins; absent for the last page. */
  readonly continuesAfter?: string | undefined;
}

export interface ReadResponse extends RecordPage {
  /** Offset after the last record in the store; the page may end earlier. */
  readonly end: number;
}

export interface RecordStore {
  readonly limits: RecordLimits;
  /**
   * @returns the offset after the last record
   * @throws StoreRefusedError when nothing was persisted and never will be
   * @throws RecordRejectedError when the same holds for every repetition of the append
   * @throws StoreAnswerLostError when the records may be persisted, now or later
   * @throws FencedError when a writer of a higher epoch has written
   * @throws SequenceError when the stamp's number does not follow the last one
   */
  append(req: AppendRequest): Promise<number>;
  /**
   * @throws RecordsGoneError when records from `from` on are no longer stored
   * @throws StoreRefusedError or StoreAnswerLostError when the topic cannot be read now
   */
  read(req: ReadRequest): Promise<ReadResponse>;
  /**
   * Returns a page of the newest record of each key, from the first key or from the one
   * behind `after`. The pages do not form a snapshot: changes that are made meanwhile are
   * found by a read from `next` of the first page.
   */
  readNewest(topic: TopicName, after?: string): Promise<NewestPage>;
}

/** Reads the newest record of each key; see RecordStore.readNewest. */
export const readAllNewest = async (
  store: RecordStore,
  topic: TopicName,
): Promise<RecordPage> => {
  let pages = await store.readNewest(topic);
  while (pages.continuesAfter !== undefined)
    pages = joinNewest(
      pages,
      await store.readNewest(topic, pages.continuesAfter),
    );
  return pages;
};

/** Appends a page of newest records to those before it. */
export const joinNewest = (
  before: NewestPage,
  page: NewestPage,
): NewestPage => ({
  records: [...before.records, ...page.records],
  next: before.next,
  unreadable: (before.unreadable ?? 0) + (page.unreadable ?? 0),
  unreadableKeys: [
    ...(before.unreadableKeys ?? []),
    ...(page.unreadableKeys ?? []),
  ],
  continuesAfter: page.continuesAfter,
});

export interface JoinRequest {
  readonly group: string;
  readonly member: string;
  readonly topic: TopicName;
  /** Milliseconds without a message after which the store removes the member. */
  readonly ttlMs: number;
  /** The last generation received; 0 at first. */
  readonly generation: Epoch;
  readonly timeoutMs: number;
}

export interface JoinResponse {
  readonly generation: Epoch;
  /** Whether this member owns the topic's only partition. */
  readonly ownsPartition: boolean;
}

export interface GroupMembership {
  /** @throws StoreRefusedError or StoreAnswerLostError */
  join(req: JoinRequest): Promise<JoinResponse>;
  /** @throws StoreRefusedError or StoreAnswerLostError */
  leave(group: string, member: string): Promise<void>;
  /** Returns the member that owns the topic's only partition, if any. */
  owner(group: string, topic: TopicName): Promise<string | undefined>;
}

/** The call had no effect and never will. */
export class StoreRefusedError extends RackspanError {
  readonly kind: string = "store-refused";
  constructor(
    what: string,
    cause?: unknown,
    remedy = "wait for the platform's store to come back, then repeat",
  ) {
    super({ what, remedy, cause });
  }
}

/**
 * The store does not accept the records, whenever they are sent: a repetition is refused as
 * well.
 */
export class RecordRejectedError extends StoreRefusedError {
  override readonly kind: string = "record-rejected";
  constructor(what: string, remedy = "check the record; it is not sent again") {
    super(what, undefined, remedy);
  }
}

/** The record is larger than the store accepts. */
export class RecordTooLargeError extends RecordRejectedError {
  override readonly kind = "record-too-large";
  constructor(topic: TopicName, record: KeyedRecord, limit: number) {
    super(
      `the record ${record.key.slice(0, MAX_KEY_BYTES)} of topic ${topic} takes ` +
        `${recordBytes(record)} bytes; the store accepts ${limit}`,
      "make it smaller",
    );
  }
}

/** The call may have taken effect, or still may. */
export class StoreAnswerLostError extends RackspanError {
  readonly kind = "store-answer-lost";
  constructor(what: string, cause?: unknown) {
    super({
      what,
      remedy: "repeat the call with the same stamp",
      cause,
    });
  }
}

/** Another writer with a higher epoch has taken over. */
export class FencedError extends RackspanError {
  readonly kind = "fenced";
  constructor(what: string) {
    super({ what, remedy: "stop writing: another process leads now" });
  }
}

/** The stamp's number does not follow the last one that the store accepted. */
export class SequenceError extends RackspanError {
  readonly kind = "bad-sequence";
  constructor(
    topic: TopicName,
    readonly expected: number,
  ) {
    super({
      what: `topic ${topic} expects number ${expected} next`,
      remedy: "continue with the expected number",
    });
  }
}

/** The records from the requested offset on are no longer stored. */
export class RecordsGoneError extends RackspanError {
  readonly kind = "records-gone";
  constructor(
    topic: TopicName,
    from: number,
    readonly oldest: number,
  ) {
    super({
      what: `topic ${topic} no longer stores offset ${from}; its oldest is ${oldest}`,
      remedy: "read the newest record of each key instead",
    });
  }
}
