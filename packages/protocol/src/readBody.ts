/** Reads a complete message body of limited size. */

import type { IncomingMessage } from "node:http";
import { RackspanError } from "@rackspan/common";

export class BodyTooLargeError extends RackspanError {
  readonly kind = "body-too-large";
  constructor(limit: number) {
    super({
      what: `the body has more than ${limit} bytes`,
      remedy: "send a smaller body",
    });
  }
}

export class BodyIncompleteError extends RackspanError {
  readonly kind = "body-incomplete";
  constructor(cause?: unknown) {
    super({
      what: "the body ended prematurely",
      remedy: "send the whole body",
      cause,
    });
  }
}

/**
 * @throws BodyTooLargeError when the body exceeds `limit` bytes
 * @throws BodyIncompleteError when the sender disconnected before the end
 */
export const readBody = async (
  message: IncomingMessage,
  limit: number,
): Promise<Buffer> => {
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of message as AsyncIterable<Buffer>) {
      size += chunk.length;
      if (size > limit) throw new BodyTooLargeError(limit);
      chunks.push(chunk);
    }
  } catch (err) {
    throw err instanceof BodyTooLargeError ? err : new BodyIncompleteError(err);
  }
  if (!message.complete) throw new BodyIncompleteError();
  return Buffer.concat(chunks, size);
};
