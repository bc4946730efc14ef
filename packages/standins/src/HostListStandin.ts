/** Stand-in of the host list: changes become visible after a configurable lag. */

import type { HostId } from "@rackspan/common";
import type { HostRecord } from "@rackspan/ports";
import { JsonServer } from "./JsonServer.js";

export class HostListStandin {
  readonly server = new JsonServer(() => ({
    body: { hosts: [...this.shown.values()] },
  }));
  /** Time until a change becomes visible, milliseconds. */
  lagMs = 0;
  private readonly shown = new Map<HostId, HostRecord>();

  put(record: HostRecord): void {
    this.applyAfterLag(() => this.shown.set(record.host, record));
  }

  remove(host: HostId): void {
    this.applyAfterLag(() => this.shown.delete(host));
  }

  private applyAfterLag(change: () => void): void {
    if (this.lagMs <= 0) change();
    else setTimeout(change, this.lagMs).unref();
  }
}
