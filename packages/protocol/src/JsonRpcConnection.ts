/**
 * Typed JSON-RPC in both directions over one TCP connection, one message per line.
 * Each peer may call the other; a connection without traffic is closed.
 */

import type { Socket } from "node:net";
import {
  JSONRPCClient,
  JSONRPCServer,
  JSONRPCServerAndClient,
  type JSONRPCResponse,
} from "json-rpc-2.0";
import {
  describeError,
  type Clock,
  type Logger,
  type Monotonic,
} from "@rackspan/common";
import { LostAnswerError } from "./errors.js";
import { PartWriter } from "./PartWriter.js";
import {
  registerHandlers,
  toErrorResponse,
  toRemoteError,
  type Handlers,
  type MethodSchema,
  type MethodTable,
  type ParamsOf,
  type ResultOf,
} from "./rpc.js";

export const JSON_RPC_CONNECTION_LIMITS = {
  /** A longer message closes the connection. */
  maxLineBytes: 4 * 1024 * 1024,
  /** More unsent bytes than this close the connection, as the peer does not read. */
  maxUnsentBytes: 8 * 1024 * 1024,
} as const;

const NEWLINE = 0x0a;

export interface JsonRpcConnectionOptions<
  Served extends MethodTable,
  Called extends MethodTable,
> {
  readonly socket: Socket;
  readonly servedMethods: Served;
  readonly handlers: Handlers<Served>;
  readonly calledMethods: Called;
  /** Milliseconds without a received byte after which the peer is considered gone. */
  readonly idleTimeoutMs: number;
  readonly clock: Clock;
  readonly logger: Logger;
}

export class JsonRpcConnection<
  Served extends MethodTable,
  Called extends MethodTable,
> {
  /** Resolves with the reason once the connection is closed. */
  readonly closed: Promise<string>;
  private readonly peer: JSONRPCServerAndClient;
  private chunks: Buffer[] = [];
  private bufferedBytes = 0;
  private endReason: string | undefined;
  private readonly writer: PartWriter;
  /** When a part of a message that is larger than one part was last sent or received. */
  private partAt: Monotonic = -Infinity;

  constructor(
    private readonly options: JsonRpcConnectionOptions<Served, Called>,
  ) {
    const { socket, servedMethods, handlers, idleTimeoutMs } = options;
    this.writer = new PartWriter(socket, () => this.recordPart());
    const server = new JSONRPCServer({ errorListener: () => undefined });
    server.mapErrorToJSONRPCErrorResponse = toErrorResponse;
    registerHandlers(server, servedMethods, handlers);
    const client = new JSONRPCClient((message) => this.send(message));
    this.peer = new JSONRPCServerAndClient(server, client);
    socket.setNoDelay(true);
    socket.setTimeout(idleTimeoutMs, () => this.close("silent"));
    socket.on("data", (chunk: Buffer) => this.receive(chunk));
    socket.on("error", (err) => this.close(describeError(err)));
    socket.on("end", () => this.close("ended by the peer"));
    this.closed = new Promise((resolve) => {
      socket.on("close", () => {
        const reason = this.endReason ?? "closed";
        this.peer.rejectAllPendingRequests(reason);
        resolve(reason);
      });
    });
  }

  get isOpen(): boolean {
    return this.endReason === undefined && !this.options.socket.destroyed;
  }

  /**
   * @param timeoutMs without an answer, and without a further part of a large message
   * @throws RemoteError when the peer refused the call
   * @throws LostAnswerError when the call may have taken effect
   */
  async call<M extends keyof Called & string>(
    method: M,
    params: ParamsOf<Called, M>,
    timeoutMs: number,
  ): Promise<ResultOf<Called, M>> {
    const result = await this.request(method, params, timeoutMs);
    const shape = this.options.calledMethods[method] as MethodSchema;
    return shape.result.parse(result) as ResultOf<Called, M>;
  }

  /** Sends a notification, which has no answer; it is lost if the connection is. */
  notify<M extends keyof Called & string>(
    method: M,
    params: ParamsOf<Called, M>,
  ): void {
    if (this.isOpen) this.peer.notify(method, params);
  }

  close(reason: string): void {
    this.endReason ??= reason;
    this.options.socket.destroy();
  }

  private async request(
    method: string,
    params: unknown,
    timeoutMs: number,
  ): Promise<unknown> {
    if (!this.isOpen) throw new LostAnswerError(`${method}: not connected`);
    const { clock } = this.options;
    const sentAt = clock.monotonic();
    let cancelTimer = (): void => undefined;
    const timedOut = new Promise<never>((_, reject) => {
      const wait = (ms: number): void => {
        const timer = clock.after(ms, check);
        cancelTimer = () => timer.cancel();
      };
      const check = (): void => {
        const progressAt = Math.max(sentAt, this.partAt);
        const leftMs = progressAt + timeoutMs - clock.monotonic();
        // The error is built only now: its stack costs more than the rest of the call.
        if (leftMs <= 0)
          reject(
            new LostAnswerError(`${method}: no answer within ${timeoutMs} ms`),
          );
        else wait(leftMs);
      };
      wait(timeoutMs);
    });
    try {
      return await Promise.race([this.peer.request(method, params), timedOut]);
    } catch (err) {
      if (err instanceof LostAnswerError) throw err;
      if (!this.isOpen)
        throw new LostAnswerError(`${method}: the connection was closed`, err);
      throw toRemoteError(err);
    } finally {
      cancelTimer();
    }
  }

  private send(message: unknown): Promise<void> {
    if (!this.isOpen) return Promise.reject(new Error("not connected"));
    this.writer.write(`${JSON.stringify(message)}\n`);
    if (this.writer.unsentBytes > JSON_RPC_CONNECTION_LIMITS.maxUnsentBytes) {
      this.close("the peer does not read");
    }
    return Promise.resolve();
  }

  private recordPart(): void {
    this.partAt = this.options.clock.monotonic();
  }

  private receive(chunk: Buffer): void {
    let rest = chunk;
    for (;;) {
      const end = rest.indexOf(NEWLINE);
      if (end < 0) break;
      this.chunks.push(rest.subarray(0, end));
      const line = Buffer.concat(this.chunks).toString("utf8");
      this.chunks = [];
      this.bufferedBytes = 0;
      rest = rest.subarray(end + 1);
      this.handleLine(line);
    }
    if (rest.length === 0) return;
    this.chunks.push(rest);
    this.bufferedBytes += rest.length;
    this.recordPart();
    if (this.bufferedBytes > JSON_RPC_CONNECTION_LIMITS.maxLineBytes) {
      this.close("a message is too long");
    }
  }

  private handleLine(line: string): void {
    let message: unknown;
    try {
      message = JSON.parse(line);
    } catch (err) {
      this.close(`invalid message: ${describeError(err)}`);
      return;
    }
    this.peer
      .receiveAndSend(message as JSONRPCResponse)
      .catch((err: unknown) => {
        const error = describeError(err);
        this.options.logger.debug("connection.answer-lost", { error });
      });
  }
}
