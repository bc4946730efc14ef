/** Serves the metrics of its process in response to every HTTP request. */

import { createServer, type Server } from "node:http";
import type { ListenAddress, Metrics } from "@rackspan/common";
import { closeServer, listenOn, sendText } from "./httpServer.js";

export interface MetricsServerOptions {
  readonly metrics: Metrics;
  /** Nothing is served when undefined. */
  readonly listen: ListenAddress | undefined;
}

export class MetricsServer {
  private readonly server: Server;

  constructor(private readonly options: MetricsServerOptions) {
    const { metrics } = options;
    this.server = createServer((_req, res) => {
      void metrics.render().then((text) => sendText(res, 200, text));
    });
  }

  async start(): Promise<void> {
    const { listen } = this.options;
    if (listen) await listenOn(this.server, listen);
  }

  async stop(): Promise<void> {
    if (this.server.listening) await closeServer(this.server);
  }
}
