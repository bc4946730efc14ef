/** Forwards a caller's body, and fails when the body exceeds a limit. */

import type { IncomingMessage } from "node:http";
import { Transform, type TransformCallback } from "node:stream";
import { BodyTooLargeError, type BodyStream } from "@rackspan/protocol";

export class LimitedBody extends Transform implements BodyStream {
  /** Whether the body has exceeded the limit. */
  exceeded = false;
  readonly stream = this;
  private bytes = 0;

  constructor(
    private readonly source: IncomingMessage,
    private readonly limit: number,
  ) {
    super();
    source.on("error", (err) => this.destroy(err));
    source.on("close", () => {
      if (!source.complete) this.destroy();
    });
    source.pipe(this);
  }

  isComplete = (): boolean => this.source.complete && !this.exceeded;

  override _transform(
    chunk: Buffer,
    _encoding: BufferEncoding,
    done: TransformCallback,
  ): void {
    this.bytes += chunk.length;
    this.exceeded = this.bytes > this.limit;
    if (this.exceeded) done(new BodyTooLargeError(this.limit));
    else done(null, chunk);
  }
}
