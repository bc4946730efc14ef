/**
 * Port to the platform's store: topics of records with offsets, of which keyed
 * topics keep the newest record of each key for good, and groups whose members
 * share the partitions of a topic.
 */

import { RackspanError, type Brand, type Epoch } from "@rackspan/common";

/** Name of a topic; the store's client knows how a keyed one is marked. */
export type TopicName = Brand<string, "TopicName">;

export interface KeyedRecord {
  readonly key: string;
  /** Absent when the key was dropped. */
  readonly value: Buffer | undefined;
}

export interface StoredRecord extends KeyedRecord {
  readonly offset: number;
}

/** Marks an append so that the store takes it once, and never from a deposed writer. */
export interface ProducerStamp {
  readonly producer: string;
  readonly epoch: number;
  /** Rises by one with each append of this producer and epoch. */
  readonly sequence: number;
}

export interface AppendRequest {
  readonly topic: TopicName;
  /** May be empty: the store then only takes note of the stamp's epoch. */
  readonly records: readonly KeyedRecord[];
  readonly stamp: ProducerStamp;
  readonly timeoutMs: number;
}

export interface ReadRequest {
  readonly topic: TopicName;
  /** Offset of the first record wanted. */
  readonly from: number;
  /** Milliseconds to wait for a record when there is none yet. */
  readonly waitMs: number;
  readonly signal?: AbortSignal;
}

export interface RecordPage {
  readonly records: readonly StoredRecord[];
  /** Offset from which to read on. */
  readonly next: number;
  /** Records left out, since they name no key that can be read; none when absent. */
  readonly unreadable?: number;
  /**
   * Keys that stand in the store with a value that cannot be read, so that they are
   * not taken for dropped ones; none when absent.
   */
  readonly unreadableKeys?: readonly string[];
}

export interface ReadResponse extends RecordPage {
  /** Offset behind the last record that the store had; an answer may end before. */
  readonly end: number;
}

export interface RecordStore {
  /**
   * @returns the offset behind the last record
   * @throws StoreRefusedError when nothing was and will be kept
   * @throws StoreAnswerLostError when the records may be kept, now or later
   * @throws FencedError when a writer of a higher epoch was seen
   * @throws SequenceError when the stamp's number does not follow the last
   */
  append(req: AppendRequest): Promise<number>;
  /**
   * @throws RecordsGoneError when records from `from` on are no longer kept
   * @throws StoreRefusedError or StoreAnswerLostError when it cannot be read now
   */
  read(req: ReadRequest): Promise<ReadResponse>;
  /**
   * The newest record of each key. Changes made meanwhile may be missing: read
   * on from `next`, which was taken before the first page.
   */
  readNewest(topic: TopicName): Promise<RecordPage>;
}

export interface JoinRequest {
  readonly group: string;
  readonly member: string;
  readonly topic: TopicName;
  /** Milliseconds of silence after which the store drops the member. */
  readonly ttlMs: number;
  /** The last one heard; 0 at first. */
  readonly generation: Epoch;
  readonly timeoutMs: number;
}

export interface JoinResponse {
  readonly generation: Epoch;
  /** Whether the topic's only partition belongs to this member. */
  readonly ownsPartition: boolean;
}

export interface GroupMembership {
  /** @throws StoreRefusedError or StoreAnswerLostError */
  join(req: JoinRequest): Promise<JoinResponse>;
  /** @throws StoreRefusedError or StoreAnswerLostError */
  leave(group: string, member: string): Promise<void>;
  /** The member that owns the topic's only partition, if any does. */
  owner(group: string, topic: TopicName): Promise<string | undefined>;
}

/** Nothing was done, and nothing will be. */
export class StoreRefusedError extends RackspanError {
  readonly kind = "store-refused";
  constructor(what: string, cause?: unknown) {
    super({
      what,
      remedy: "wait for the platform's store to come back, then repeat",
      cause,
    });
  }
}

/** The call may have taken effect, or may still do so. */
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

/** The stamp's number does not follow the last one that the store took. */
export class SequenceError extends RackspanError {
  readonly kind = "bad-sequence";
  constructor(
    topic: TopicName,
    readonly expected: number,
  ) {
    super({
      what: `topic ${topic} wants number ${expected} next`,
      remedy: "go on from the number wanted",
    });
  }
}

/** The records from the wanted offset on are no longer kept. */
export class RecordsGoneError extends RackspanError {
  readonly kind = "records-gone";
  constructor(
    topic: TopicName,
    from: number,
    readonly oldest: number,
  ) {
    super({
      what: `topic ${topic} no longer keeps offset ${from}; its oldest is ${oldest}`,
      remedy: "read the newest record of each key instead",
    });
  }
}
