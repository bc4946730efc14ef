/** Fetches snapshots from other entries, for use when the log no longer contains the history. */

import { get } from "node:http";
import { describeError, type HostId, type Logger } from "@rackspan/common";
import type { HostList } from "@rackspan/ports";
import { readBody } from "@rackspan/protocol";
import {
  decodeSnapshot,
  type PeerSnapshots,
  type Snapshot,
} from "@rackspan/state";

export const SNAPSHOT_PATH = "/snapshot";
const MAX_SNAPSHOT_BYTES = 256 * 1024 * 1024;
const TIMEOUT_MS = 10_000;
const STATUS_OK = 200;

export interface HttpPeerSnapshotsOptions {
  readonly self: HostId;
  readonly hostList: HostList;
  readonly logger: Logger;
}

export class HttpPeerSnapshots implements PeerSnapshots {
  constructor(private readonly options: HttpPeerSnapshotsOptions) {}

  async fetchNewest(): Promise<Snapshot | undefined> {
    const { hostList, self } = this.options;
    const records = await hostList.list();
    const others = records.filter(
      ({ role, host }) => role === "entry" && host !== self,
    );
    const snapshots = await Promise.all(
      others.map(({ address }) => this.fetchFrom(address)),
    );
    return snapshots.reduce(
      (best, next) =>
        next && (!best || next.covered > best.covered) ? next : best,
      undefined,
    );
  }

  private async fetchFrom(address: string): Promise<Snapshot | undefined> {
    try {
      const bytes = await download(`http://${address}${SNAPSHOT_PATH}`);
      return bytes && decodeSnapshot(bytes);
    } catch (err) {
      this.options.logger.info("peer.no-snapshot", {
        address,
        error: describeError(err),
      });
      return undefined;
    }
  }
}

/** @returns undefined if the peer has not caught up with the log yet */
const download = (url: string): Promise<Buffer | undefined> =>
  new Promise((resolve, reject) => {
    const req = get(url, { timeout: TIMEOUT_MS }, (res) => {
      if (res.statusCode === STATUS_OK) {
        readBody(res, MAX_SNAPSHOT_BYTES).then(resolve, reject);
        return;
      }
      res.resume();
      resolve(undefined);
    });
    req.on("timeout", () =>
      req.destroy(new Error(`no answer within ${TIMEOUT_MS} ms`)),
    );
    req.on("error", reject);
  });
