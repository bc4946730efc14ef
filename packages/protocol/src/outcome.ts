/** What a caller may conclude from a response that does not come from the endpoint. */

/** `not-run`: the request was not run and never will be. `unknown`: it may have run. */
export type Outcome = "not-run" | "unknown";

/** Reasons of refusals and failures, used in `Rackspan-Reason` and as metric labels. */
export const REASON = {
  BAD_REQUEST: "bad-request",
  UNKNOWN_SERVICE: "unknown-service",
  HEADERS_TOO_LARGE: "headers-too-large",
  BODY_TOO_LARGE: "body-too-large",
  SLOW_SENDER: "slow-sender",
  DEADLINE: "deadline",
  QUEUE_FULL: "queue-full",
  POLICY: "policy",
  NO_ENDPOINT: "no-endpoint",
  SLOTS_BUSY: "slots-busy",
  CONNECTIONS_BUSY: "connections-busy",
  LEAVING: "leaving",
  NOT_READY: "not-ready",
  WRONG_INCARNATION: "wrong-incarnation",
  FENCED: "fenced",
  CONNECT_FAILED: "connect-failed",
  CONNECTION_LOST: "connection-lost",
  KEY_IN_PROGRESS: "key-in-progress",
  KEY_REUSED: "key-reused",
  LOG_UNAVAILABLE: "log-unavailable",
  OUTCOME_NOT_KEPT: "outcome-not-kept",
  UPGRADE_REFUSED: "upgrade-refused",
  INTERNAL: "internal",
} as const;

export type Reason = (typeof REASON)[keyof typeof REASON];
