/** The side's end of a connection to the leading entry. */

import type {
  hostMethods,
  leaderMethods,
  LineConnection,
} from "@rackspan/protocol";

export type LeaderConnection = LineConnection<
  typeof hostMethods,
  typeof leaderMethods
>;
