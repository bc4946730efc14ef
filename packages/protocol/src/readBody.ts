/** Reads a whole message body within a limit. */

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
      what: "the body broke off before its end",
      remedy: "send the whole body",
      cause,
    });
  }
}

/**
 * @throws BodyTooLargeError past `limit` bytes
 * @throws BodyIncompleteError when the sender went away before the end
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
