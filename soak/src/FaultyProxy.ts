/**
 * A TCP proxy on loopback that injects faults: late bytes, which still arrive when
 * their sender has given up, silence, resets, connections closed on one side.
 */

import { connect, createServer, type Server, type Socket } from "node:net";
import { once } from "node:events";
import { splitAddress, type Random } from "@rackspan/common";
import { addressOf, listenOn } from "@rackspan/protocol";
import { DelayedPipe } from "./DelayedPipe.js";

/** How long a connection stays open after one of its sides is gone, milliseconds. */
const LINGER_MS = 500;

/** How often chunks are held, and for how long. */
export interface HoldDistribution {
  readonly share: number;
  readonly leastMs: number;
  readonly mostMs: number;
}

export const NO_HOLDS: HoldDistribution = { share: 0, leastMs: 0, mostMs: 0 };

/** What becomes of new connections while there is no target. */
export type NoTargetBehavior = "silent" | "reset";

interface ProxiedConnection {
  readonly near: Socket;
  readonly far: Socket;
  readonly pipes: readonly DelayedPipe[];
}

export class FaultyProxy {
  /** `IP:PORT`; undefined while nothing stands there. */
  target: string | undefined;
  noTargetBehavior: NoTargetBehavior = "reset";
  /** For bytes that callers send. */
  callHolds: HoldDistribution = NO_HOLDS;
  /** For bytes that callers get. */
  answerHolds: HoldDistribution = NO_HOLDS;
  private readonly server: Server;
  private readonly connections = new Set<ProxiedConnection>();
  private readonly unansweredSockets = new Set<Socket>();

  constructor(private readonly random: Random) {
    this.server = createServer((near) => this.accept(near));
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
    for (const { near, far } of this.connections) {
      reset(near);
      reset(far);
    }
    for (const near of this.unansweredSockets) reset(near);
  }

  /** Open connections carry nothing more; neither end is notified. */
  stopForwardingAll(): void {
    for (const { pipes } of this.connections) {
      for (const pipe of pipes) pipe.isDiscarding = true;
    }
  }

  /** The called end closes; the caller's end stays open and silent. */
  halfCloseAll(): void {
    for (const { far, pipes } of this.connections) {
      for (const pipe of pipes) pipe.isDiscarding = true;
      far.end();
    }
  }

  private accept(near: Socket): void {
    near.on("error", ignore);
    const { target } = this;
    if (target !== undefined) {
      this.connectToTarget(near, target);
      return;
    }
    if (this.noTargetBehavior === "reset") {
      reset(near);
      return;
    }
    this.unansweredSockets.add(near);
    near.resume();
    near.on("close", () => this.unansweredSockets.delete(near));
  }

  private connectToTarget(near: Socket, target: string): void {
    const { address, port } = splitAddress(target);
    const far = connect({ host: address, port });
    far.on("error", ignore);
    near.setNoDelay(true);
    far.setNoDelay(true);
    const calls = new DelayedPipe(near, {
      drawHoldMs: () => this.drawHoldMs(this.callHolds),
      send: (chunk) => void far.write(chunk),
      onDrained: () => endSoon(far),
    });
    const answers = new DelayedPipe(far, {
      drawHoldMs: () => this.drawHoldMs(this.answerHolds),
      send: (chunk) => void near.write(chunk),
      // A connection without a living other end stays open until it is reset.
      onDrained: () => {
        if (!answers.isDiscarding) endSoon(near);
      },
    });
    const link: ProxiedConnection = { near, far, pipes: [calls, answers] };
    this.connections.add(link);
    const forget = (): void => {
      if (near.destroyed && far.destroyed) this.connections.delete(link);
    };
    near.on("close", forget);
    far.on("close", forget);
  }

  private drawHoldMs({ share, leastMs, mostMs }: HoldDistribution): number {
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
