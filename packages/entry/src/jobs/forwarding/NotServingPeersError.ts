import { RackspanError } from "@rackspan/common";

/** This entry's settings do not let it serve other entries; nothing was carried out. */
export class NotServingPeersError extends RackspanError {
  static readonly kind = "not-serving-peers";
  readonly kind = NotServingPeersError.kind;
  constructor() {
    super({
      what: "this entry serves no requests of other entries",
      remedy: "set peers.forwardsRequests on all entries",
    });
  }
}
