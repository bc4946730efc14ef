/** The side's end of a connection to the leading entry. */

import type {
  hostMethods,
  leaderMethods,
  JsonRpcConnection,
} from "@rackspan/protocol";

export type LeaderConnection = JsonRpcConnection<
  typeof hostMethods,
  typeof leaderMethods
>;
