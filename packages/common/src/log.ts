/** Structured logs through consola: one line of key=value pairs for each event. */

import { createConsola, LogLevels, type LogObject } from "consola";

export type LogValue = string | number | boolean | undefined;
export type LogFields = Readonly<Record<string, LogValue>>;
export type LogLevel = "error" | "warn" | "info" | "debug";

export interface Logger {
  error(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  info(event: string, fields?: LogFields): void;
  debug(event: string, fields?: LogFields): void;
  /** Returns a logger that adds the given fields to every line. */
  with(fields: LogFields): Logger;
}

const PLAIN_VALUE = /^[\w.:/@#+*,-]+$/;

const formatValue = (value: LogValue): string => {
  const text = String(value);
  return PLAIN_VALUE.test(text) ? text : JSON.stringify(text);
};

/** `event=claim.lost job=settle-0412 attempt=2`; undefined fields are omitted. */
export const formatLogLine = (event: string, fields: LogFields): string =>
  [`event=${formatValue(event)}`]
    .concat(
      Object.entries(fields)
        .filter(([, value]) => value !== undefined)
        .map(([key, value]) => `${key}=${formatValue(value)}`),
    )
    .join(" ");

class ConsolaLogger implements Logger {
  constructor(
    private readonly sink: ReturnType<typeof createConsola>,
    private readonly fields: LogFields,
  ) {}

  error(event: string, fields: LogFields = {}): void {
    this.sink.error(formatLogLine(event, { ...this.fields, ...fields }));
  }

  warn(event: string, fields: LogFields = {}): void {
    this.sink.warn(formatLogLine(event, { ...this.fields, ...fields }));
  }

  info(event: string, fields: LogFields = {}): void {
    this.sink.info(formatLogLine(event, { ...this.fields, ...fields }));
  }

  debug(event: string, fields: LogFields = {}): void {
    // Debug calls are on hot paths, so a line that is not written is not formatted.
    if (this.sink.level < LogLevels.debug) return;
    this.sink.debug(formatLogLine(event, { ...this.fields, ...fields }));
  }

  with(fields: LogFields): Logger {
    return new ConsolaLogger(this.sink, { ...this.fields, ...fields });
  }
}

export interface LoggerOptions {
  readonly level: LogLevel | "silent";
  /** Receives each line, without a line break; defaults to standard error. */
  readonly write?: (line: string) => void;
}

export const createLogger = ({ level, write }: LoggerOptions): Logger => {
  const emit = write ?? ((line) => void process.stderr.write(`${line}\n`));
  const sink = createConsola({
    level: LogLevels[level],
    throttle: 0,
    reporters: [
      {
        log: (entry: LogObject) => {
          const time = entry.date.toISOString();
          emit(`time=${time} level=${entry.type} ${String(entry.args[0])}`);
        },
      },
    ],
  });
  return new ConsolaLogger(sink, {});
};

export const silentLogger: Logger = createLogger({ level: "silent" });

const OUTPUT = {
  /** Lines are dropped while more bytes than this are buffered. */
  maxBufferedBytes: 256 * 1024,
} as const;

let droppedLines = 0;

/**
 * Writes a line to standard output without waiting for its reader. Lines are dropped while
 * the buffer is full, and the next line that is written reports how many.
 */
export const writeToStandardOutput = (line: string): void => {
  const { stdout } = process;
  if (stdout.writableLength > OUTPUT.maxBufferedBytes) {
    droppedLines += 1;
    return;
  }
  if (droppedLines > 0) {
    stdout.write(`event=log.left-out lines=${droppedLines}\n`);
    droppedLines = 0;
  }
  stdout.write(`${line}\n`);
};
