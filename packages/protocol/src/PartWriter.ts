/**
 * Writes messages to a socket in parts, so that the progress of a large message shows before
 * the socket has taken all of it.
 */

import type { Socket } from "node:net";

const PART_BYTES = 16_384;

export class PartWriter {
  private queue: Buffer[] = [];
  private queuedBytes = 0;
  private isWriting = false;

  /** @param onProgress called when the socket has taken a part and there are further ones */
  constructor(
    private readonly socket: Socket,
    private readonly onProgress: () => void,
  ) {}

  /** Bytes that the socket has not passed on to the operating system. */
  get unsentBytes(): number {
    return this.queuedBytes + this.socket.writableLength;
  }

  write(message: string): void {
    const bytes = Buffer.from(message);
    this.queue.push(bytes);
    this.queuedBytes += bytes.length;
    this.writeNext();
  }

  private writeNext(): void {
    if (this.isWriting || this.queue.length === 0 || this.socket.destroyed)
      return;
    this.isWriting = true;
    this.socket.write(this.takePart(), (err) => {
      this.isWriting = false;
      if (err) return;
      if (this.queuedBytes >= PART_BYTES) this.onProgress();
      this.writeNext();
    });
  }

  /** Takes the rest of a large message in parts, and small messages together. */
  private takePart(): Buffer {
    const parts: Buffer[] = [];
    let size = 0;
    for (const next of this.queue) {
      if (size + next.length > PART_BYTES) break;
      parts.push(next);
      size += next.length;
    }
    const [first] = this.queue;
    if (parts.length === 0 && first) {
      parts.push(first.subarray(0, PART_BYTES));
      this.queue[0] = first.subarray(PART_BYTES);
      size = PART_BYTES;
    } else {
      this.queue.splice(0, parts.length);
    }
    this.queuedBytes -= size;
    return parts.length === 1 ? (parts[0] as Buffer) : Buffer.concat(parts);
  }
}
