/** The side's end of the connection to the leading entry. */

import type {
  hostMethods,
  leaderMethods,
  JsonRpcConnection,
} from "@rackspan/protocol";

export type LeaderConnection = JsonRpcConnection<
  typeof hostMethods,
  typeof leaderMethods
>;
