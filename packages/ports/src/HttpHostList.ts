/** Client of the host list's HTTP protocol (docs/INTERFACE.md, "Host list"). */

import { z } from "zod";
import { RackspanError } from "@rackspan/common";
import { JsonHttpClient } from "@rackspan/protocol";
import {
  hostRecordSchema,
  type HostList,
  type HostRecord,
} from "./hostList.js";

const answerSchema = z.object({ hosts: z.array(hostRecordSchema) });

export class HostListUnavailableError extends RackspanError {
  readonly kind = "host-list-unavailable";
  constructor(cause: unknown) {
    super({
      what: "the host list cannot be read now",
      remedy: "wait for the platform's host list to come back",
      cause,
    });
  }
}

export class HttpHostList implements HostList {
  private readonly http: JsonHttpClient;

  constructor(baseUrl: string) {
    this.http = new JsonHttpClient({ baseUrl });
  }

  async list(signal?: AbortSignal): Promise<readonly HostRecord[]> {
    try {
      const call = { method: "GET", path: "/hosts", signal } as const;
      return (await this.http.call(call, answerSchema)).hosts;
    } catch (err) {
      throw new HostListUnavailableError(err);
    }
  }
}
