/** The HTTP listener for operators, other entries and health probes. */

import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Metrics } from "@rackspan/common";
import {
  addressOf,
  closeServer,
  listenOn,
  RPC_PATH,
  RpcServer,
  sendText,
  type Handlers,
} from "@rackspan/protocol";
import { encodeSnapshot, type Fold, type LogFollower } from "@rackspan/state";
import { SNAPSHOT_PATH } from "./HttpPeerSnapshots.js";
import { OPERATOR_METHODS, type OperatorMethods } from "./operatorMethods.js";

export interface ControlServerOptions {
  readonly handlers: Handlers<OperatorMethods>;
  readonly fold: Fold;
  readonly follower: LogFollower;
  readonly metrics: Metrics;
  /** Why this entry is not ready; undefined if it is. */
  readonly notReadyReason: () => string | undefined;
  readonly publishGauges: () => void;
}

export class ControlServer {
  private readonly server: Server;
  private readonly rpc: RpcServer<OperatorMethods>;

  constructor(private readonly options: ControlServerOptions) {
    this.rpc = new RpcServer(OPERATOR_METHODS, options.handlers);
    this.server = createServer((req, res) => {
      res.on("error", () => undefined);
      void this.serve(req, res);
    });
  }

  listen(on: { port: number; address: string }): Promise<void> {
    return listenOn(this.server, on);
  }

  /** `IP:PORT`, as in the host list. */
  get address(): string {
    return addressOf(this.server);
  }

  close(): Promise<void> {
    return closeServer(this.server);
  }

  private async serve(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    switch (req.url) {
      case RPC_PATH:
        return this.rpc.handle(req, res);
      case SNAPSHOT_PATH:
        return this.sendSnapshot(res);
      case "/livez":
        return sendText(res, 200, "live\n");
      case "/readyz": {
        const why = this.options.notReadyReason();
        return why
          ? sendText(res, 503, `${why}\n`)
          : sendText(res, 200, "ready\n");
      }
      case "/metrics":
        this.options.publishGauges();
        return sendText(res, 200, await this.options.metrics.render());
      default:
        return sendText(res, 404, "not found\n");
    }
  }

  private sendSnapshot(res: ServerResponse): void {
    const { fold, follower } = this.options;
    if (!follower.caughtUp) return sendText(res, 503, "not caught up\n");
    const bytes = encodeSnapshot({
      covered: follower.position,
      state: fold.toSnapshot(),
    });
    res.writeHead(200, {
      "content-type": "application/octet-stream",
      "content-length": String(bytes.length),
    });
    res.end(bytes);
  }
}
