/** An in-memory log service on the given clock, with faults. */

import {
  ChangeSignal,
  Emitter,
  offset,
  sleep,
  type Clock,
  type Offset,
} from "@rackspan/common";
import {
  LogAnswerLostError,
  LogUnavailableError,
  RetentionError,
  type LogPage,
  type LogService,
  type ReadOptions,
} from "@rackspan/ports";

interface Stream {
  oldest: number;
  readonly entries: Buffer[];
  readonly entryAppended: ChangeSignal;
}

export interface AppendedEntry {
  readonly stream: string;
  readonly data: Buffer;
}

const APPEND_MS = 3;
const SLOW_MS = 900;

export class FakeLog implements LogService {
  down = false;
  slow = false;
  /** Number of next appends whose answers are lost after they took effect. */
  loseAnswers = 0;
  /** Emits each appended entry, also where the writer got no answer. */
  readonly appended = new Emitter<AppendedEntry>();
  private readonly streams = new Map<string, Stream>();

  constructor(private readonly clock: Clock) {}

  async append(name: string, data: Buffer): Promise<Offset> {
    await sleep(this.clock, this.slow ? SLOW_MS : APPEND_MS);
    if (this.down) throw new LogUnavailableError("the log is down");
    const { entries, oldest, entryAppended } = this.stream(name);
    entries.push(data);
    this.appended.emit({ stream: name, data });
    entryAppended.notify();
    if (this.loseAnswers > 0) {
      this.loseAnswers -= 1;
      throw new LogAnswerLostError("the answer was lost");
    }
    return offset(oldest + entries.length - 1);
  }

  async read(name: string, { from, waitMs }: ReadOptions): Promise<LogPage> {
    const stream = this.stream(name);
    const end = (): number => stream.oldest + stream.entries.length;
    await sleep(this.clock, this.slow ? SLOW_MS : 1);
    if (!this.down && from >= end() && waitMs > 0)
      await stream.entryAppended.wait(this.clock, waitMs);
    if (this.down) throw new LogUnavailableError("the log is down");
    const { oldest } = stream;
    if (from < oldest) throw new RetentionError(name, from, offset(oldest));
    const entries = stream.entries
      .slice(from - oldest)
      .map((data, index) => ({ offset: offset(from + index), data }));
    return {
      entries,
      next: offset(from + entries.length),
      oldest: offset(oldest),
    };
  }

  /** The offset of the next entry of the stream. */
  end(name: string): number {
    const { oldest, entries } = this.stream(name);
    return oldest + entries.length;
  }

  /** Drops the entries below the offset, as log retention does. */
  truncate(name: string, below: number): void {
    const stream = this.stream(name);
    const dropped = Math.max(0, below - stream.oldest);
    stream.oldest += stream.entries.splice(0, dropped).length;
  }

  private stream(name: string): Stream {
    const stream = this.streams.get(name) ?? {
      oldest: 0,
      entries: [],
      entryAppended: new ChangeSignal(),
    };
    this.streams.set(name, stream);
    return stream;
  }
}
