/** Calls entries on behalf of an operator; the first reachable entry is used. */

import { RackspanError } from "@rackspan/common";
import { OPERATOR_METHODS, type OperatorMethods } from "@rackspan/entry";
import {
  ConnectError,
  RpcClient,
  type ParamsOf,
  type ResultOf,
} from "@rackspan/protocol";

export class NoEntryError extends RackspanError {
  readonly kind = "no-entry";
  constructor(addresses: readonly string[], cause: unknown) {
    super({
      what: `no entry answers at ${addresses.join(", ") || "(no address)"}`,
      remedy: "set --entry to the control address (IP:PORT) of a running entry",
      cause,
    });
  }
}

const CALL_TIMEOUT_MS = 15_000;

export class OperatorClient {
  constructor(private readonly addresses: readonly string[]) {}

  /**
   * Tries the next entry only if nothing was sent to the previous one.
   * @throws NoEntryError if no entry could be reached
   */
  async call<M extends keyof OperatorMethods & string>(
    method: M,
    params: ParamsOf<OperatorMethods, M>,
  ): Promise<ResultOf<OperatorMethods, M>> {
    let cause: unknown;
    for (const address of this.addresses) {
      const rpc = new RpcClient(OPERATOR_METHODS, `http://${address}`);
      try {
        return await rpc.call(method, params, { timeoutMs: CALL_TIMEOUT_MS });
      } catch (err) {
        if (!(err instanceof ConnectError)) throw err;
        cause = err;
      } finally {
        rpc.close();
      }
    }
    throw new NoEntryError(this.addresses, cause);
  }
}
