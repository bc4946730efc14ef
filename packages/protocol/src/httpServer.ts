/** What all of our listeners share; the first two functions take any TCP server. */

import type { Server, ServerResponse } from "node:http";
import type { AddressInfo, Server as TcpServer } from "node:net";

/** Resolves once connections are taken; port 0 takes any free one. */
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

/** `IP:PORT` of a server that listens. */
export const addressOf = (server: TcpServer): string => {
  const { address, port } = server.address() as AddressInfo;
  return `${address}:${port}`;
};

/** Cuts what is open, and resolves once nothing is. */
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
