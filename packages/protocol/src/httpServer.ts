/** Functions shared by all HTTP servers; the first two accept any TCP server. */

import type { Server, ServerResponse } from "node:http";
import type { AddressInfo, Server as TcpServer } from "node:net";

/** Resolves once the server accepts connections; port 0 selects any free port. */
export const listenOn = (
  server: TcpServer,
  { port, address }: { readonly port: number; readonly address: string },
): Promise<void> =>
  new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, address, () => {
      server.off("error", reject);
      resolve();
    });
  });

/** `IP:PORT` of a listening server. */
export const addressOf = (server: TcpServer): string => {
  const { address, port } = server.address() as AddressInfo;
  return `${address}:${port}`;
};

/** Closes all open connections and resolves once the server is closed. */
export const closeServer = async (server: Server): Promise<void> => {
  const closed = new Promise<void>((resolve) => server.close(() => resolve()));
  server.closeAllConnections();
  await closed;
};

export const sendText = (
  res: ServerResponse,
  status: number,
  text: string,
): void => {
  res.writeHead(status, { "content-type": "text/plain; charset=utf-8" });
  res.end(text);
};
