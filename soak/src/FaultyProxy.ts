/**
 * A TCP proxy on loopback that injects faults: late bytes, which still arrive when
 * their sender has given up, silence, resets, connections closed on one side.
 */

import { connect, createServer, type Server, type Socket } from "node:net";
import { once } from "node:events";
import { splitAddress, type Random } from "@rackspan/common";
import { addressOf, listenOn } from "@rackspan/protocol";
import { HeldPipe } from "./HeldPipe.js";

/** How long a connection stays open after one of its sides is gone, milliseconds. */
const LINGER_MS = 500;

/** How often chunks are held, and for how long. */
export interface Holds {
  readonly share: number;
  readonly leastMs: number;
  readonly mostMs: number;
}

export const NO_HOLDS: Holds = { share: 0, leastMs: 0, mostMs: 0 };

/** What becomes of new connections while there is no target. */
export type WithoutTarget = "silent" | "reset";

interface Link {
  readonly near: Socket;
  readonly far: Socket;
  readonly pipes: readonly HeldPipe[];
}

export class FaultyProxy {
  /** `IP:PORT`; undefined while nothing stands there. */
  target: string | undefined;
  withoutTarget: WithoutTarget = "reset";
  /** For bytes that callers send. */
  callHolds: Holds = NO_HOLDS;
  /** For bytes that callers get. */
  answerHolds: Holds = NO_HOLDS;
  private readonly server: Server;
  private readonly links = new Set<Link>();
  private readonly mute = new Set<Socket>();

  constructor(private readonly random: Random) {
    this.server = createServer((near) => this.take(near));
  }

  /** @returns `IP:PORT` */
  async listen(): Promise<string> {
    await listenOn(this.server, { address: "127.0.0.1", port: 0 });
    return addressOf(this.server);
  }

  async close(): Promise<void> {
    const closed = once(this.server, "close");
    this.server.close();
    this.resetAll();
    await closed;
  }

  /** Both ends of all open connections hear that they are broken. */
  resetAll(): void {
    for (const { near, far } of this.links) {
      reset(near);
      reset(far);
    }
    for (const near of this.mute) reset(near);
  }

  /** Open connections carry nothing more; neither end is notified. */
  muteAll(): void {
    for (const { pipes } of this.links) {
      for (const pipe of pipes) pipe.isCut = true;
    }
  }

  /** The called end closes; the caller's end stays open and silent. */
  halfCloseAll(): void {
    for (const { far, pipes } of this.links) {
      for (const pipe of pipes) pipe.isCut = true;
      far.end();
    }
  }

  private take(near: Socket): void {
    near.on("error", ignore);
    const { target } = this;
    if (target !== undefined) {
      this.join(near, target);
      return;
    }
    if (this.withoutTarget === "reset") {
      reset(near);
      return;
    }
    this.mute.add(near);
    near.resume();
    near.on("close", () => this.mute.delete(near));
  }

  private join(near: Socket, target: string): void {
    const { address, port } = splitAddress(target);
    const far = connect({ host: address, port });
    far.on("error", ignore);
    near.setNoDelay(true);
    far.setNoDelay(true);
    const calls = new HeldPipe(near, {
      drawHoldMs: () => this.draw(this.callHolds),
      send: (chunk) => void far.write(chunk),
      onDrained: () => endSoon(far),
    });
    const answers = new HeldPipe(far, {
      drawHoldMs: () => this.draw(this.answerHolds),
      send: (chunk) => void near.write(chunk),
      // A connection without a living other end stays open until it is reset.
      onDrained: () => {
        if (!answers.isCut) endSoon(near);
      },
    });
    const link: Link = { near, far, pipes: [calls, answers] };
    this.links.add(link);
    const forget = (): void => {
      if (near.destroyed && far.destroyed) this.links.delete(link);
    };
    near.on("close", forget);
    far.on("close", forget);
  }

  private draw({ share, leastMs, mostMs }: Holds): number {
    if (this.random.next() >= share) return 0;
    return leastMs + this.random.next() * (mostMs - leastMs);
  }
}

const ignore = (): void => undefined;

/** A socket that is already ending cannot be reset: its handle would stay for good. */
const reset = (socket: Socket): void => {
  if (socket.writableEnded || socket.connecting) socket.destroy();
  else socket.resetAndDestroy();
};

const endSoon = (socket: Socket): void => {
  setTimeout(() => socket.destroy(), LINGER_MS).unref();
};
