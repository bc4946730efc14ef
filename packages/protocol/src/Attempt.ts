/** One attempt of a request: it is sent to one address and gets one response, or fails. */

import {
  request,
  type Agent,
  type ClientRequest,
  type IncomingMessage,
} from "node:http";
import type { Duplex, Readable } from "node:stream";
import { RackspanError } from "@rackspan/common";
import type { RawHeaders } from "./headers.js";

/** `IP:PORT` of a rackspan process or of an endpoint. */
export interface SocketAddress {
  readonly host: string;
  readonly port: number;
}

/** @throws TypeError when the text is not `IP:PORT` */
export const parseAddress = (text: string): SocketAddress => {
  const at = text.lastIndexOf(":");
  const port = Number(text.slice(at + 1));
  if (at < 1 || !Number.isInteger(port) || port < 0 || port > 65_535) {
    throw new TypeError(`"${text}" is not IP:PORT`);
  }
  return { host: text.slice(0, at).replace(/^\[|\]$/g, ""), port };
};

/** A body that is streamed as it arrives, and so can be sent only once. */
export interface BodyStream {
  readonly stream: Readable;
  /** Whether the stream has been received to its end. */
  readonly isComplete: () => boolean;
}

export const STATUS_SWITCHING_PROTOCOLS = 101;

export interface AttemptOptions {
  readonly address: SocketAddress;
  /** `false` opens a new connection, which cannot be half closed already. */
  readonly agent: Agent | false;
  readonly method: string;
  readonly path: string;
  /** Flat list of end-to-end headers. */
  readonly headers: RawHeaders;
  readonly body: Buffer | BodyStream | undefined;
  /** Called for a response that switches protocols; without it, such a response fails. */
  readonly onUpgrade?: (
    response: IncomingMessage,
    socket: Duplex,
    head: Buffer,
  ) => void;
}

/** The attempt got no response. */
export class AttemptFailedError extends RackspanError {
  readonly kind = "attempt-failed";
  constructor(
    /** False only when not a single byte was sent. */
    readonly mayHaveRun: boolean,
    address: SocketAddress,
    cause: unknown,
  ) {
    super({
      what: `no response from ${address.host}:${address.port}`,
      remedy: mayHaveRun
        ? "find out whether the request ran before repeating it"
        : "try another endpoint",
      cause,
    });
  }
}

export class Attempt {
  /**
   * Head of the response; its status is 101 when protocols were switched.
   * @throws AttemptFailedError
   */
  readonly response: Promise<IncomingMessage>;
  private readonly req: ClientRequest;
  private connected = false;

  constructor(private readonly options: AttemptOptions) {
    const { address, agent, method, path, headers, onUpgrade } = options;
    this.req = request({
      host: address.host,
      port: address.port,
      agent,
      method,
      path,
      // Node accepts a flat list here, which preserves order,
      // spelling and repeated headers.
      headers: headers as unknown as Record<string, string>,
    });
    this.response = new Promise((resolve, reject) => {
      let hasResponse = false;
      this.req.on("response", (response) => {
        hasResponse = true;
        resolve(response);
      });
      if (onUpgrade) {
        this.req.on("upgrade", (response, socket, head) => {
          hasResponse = true;
          resolve(response);
          onUpgrade(response, socket, head);
        });
      }
      this.req.on("error", (err) => reject(this.failure(err)));
      this.req.on("close", () => {
        // Errors are expensive to create, so none is created once a
        // response has arrived.
        if (!hasResponse) reject(this.failure(undefined));
      });
    });
    // Avoids an unhandled rejection when the caller no longer waits for the response.
    this.response.catch(() => undefined);
    this.trackConnection();
    this.sendBody();
  }

  /** Closes the connection, which also shows the other end that no response is awaited. */
  cancel(): void {
    this.req.destroy();
  }

  private failure(cause: unknown): AttemptFailedError {
    return new AttemptFailedError(this.connected, this.options.address, cause);
  }

  private trackConnection(): void {
    this.req.on("socket", (socket) => {
      if (!socket.connecting) this.connected = true;
      else socket.once("connect", () => (this.connected = true));
    });
  }

  private sendBody(): void {
    const { body } = this.options;
    if (body === undefined || Buffer.isBuffer(body)) {
      this.req.end(body);
      return;
    }
    const { stream, isComplete } = body;
    // A sender that aborts must not look like the end of the body.
    stream.on("error", () => this.req.destroy());
    stream.on("close", () => {
      if (!isComplete()) this.req.destroy();
    });
    stream.pipe(this.req);
  }
}
