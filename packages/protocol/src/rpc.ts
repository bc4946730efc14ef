/**
 * Typed JSON-RPC calls between rackspan processes over HTTP POST,
 * based on json-rpc-2.0.
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import {
  createJSONRPCErrorResponse,
  isJSONRPCRequest,
  JSONRPCClient,
  JSONRPCServer,
  type JSONRPCErrorResponse,
  type JSONRPCID,
  type JSONRPCResponse,
} from "json-rpc-2.0";
import { z } from "zod";
import { RackspanError } from "@rackspan/common";
import { BadAnswerError, RemoteError } from "./errors.js";
import { JsonHttpClient } from "./JsonHttpClient.js";
import { readBody } from "./readBody.js";

export const RPC_PATH = "/rpc";
const MAX_CALL_BYTES = 4 * 1024 * 1024;
const TYPED_ERROR_CODE = -32_000;
const INVALID_PARAMS_CODE = -32_602;
const INVALID_REQUEST_CODE = -32_600;

export interface MethodSchema {
  readonly params: z.ZodType;
  readonly result: z.ZodType;
}

export type MethodTable = Readonly<Record<string, MethodSchema>>;

export type ParamsOf<T extends MethodTable, M extends keyof T> = z.infer<
  T[M]["params"]
>;
export type ResultOf<T extends MethodTable, M extends keyof T> = z.infer<
  T[M]["result"]
>;

/** The handler of each method of a table. */
export type Handlers<T extends MethodTable> = {
  readonly [M in keyof T]: (
    params: ParamsOf<T, M>,
  ) => Promise<ResultOf<T, M>> | ResultOf<T, M>;
};

const remoteErrorSchema = z.object({
  kind: z.string(),
  what: z.string(),
  remedy: z.string(),
});

export const toErrorResponse = (
  id: JSONRPCID,
  error: unknown,
): JSONRPCErrorResponse => {
  if (error instanceof RackspanError) {
    const { kind, what, remedy } = error;
    const data = { kind, what, remedy };
    return createJSONRPCErrorResponse(id, TYPED_ERROR_CODE, what, data);
  }
  if (error instanceof z.ZodError) {
    return createJSONRPCErrorResponse(id, INVALID_PARAMS_CODE, error.message);
  }
  return createJSONRPCErrorResponse(id, TYPED_ERROR_CODE, String(error));
};

/** Registers handlers that receive validated parameters only. */
export const registerHandlers = <T extends MethodTable>(
  server: JSONRPCServer,
  table: T,
  handlers: Handlers<T>,
): void => {
  for (const name of Object.keys(table)) {
    const shape = table[name] as MethodSchema;
    const handle = handlers[name] as (params: unknown) => unknown;
    server.addMethod(name, async (params: unknown) =>
      handle(shape.params.parse(params)),
    );
  }
};

/** Serves the methods of one table. */
export class RpcServer<T extends MethodTable> {
  private readonly server = new JSONRPCServer({
    // Refusals are regular responses; the code that refuses a call logs and counts it.
    errorListener: () => undefined,
  });

  constructor(table: T, handlers: Handlers<T>) {
    this.server.mapErrorToJSONRPCErrorResponse = toErrorResponse;
    registerHandlers(this.server, table, handlers);
  }

  /** Handles one HTTP request to `RPC_PATH`. */
  async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const answer = await this.respond(req);
    const body = JSON.stringify(answer);
    res.writeHead(200, {
      "content-type": "application/json",
      "content-length": String(Buffer.byteLength(body)),
    });
    res.end(body);
  }

  private async respond(req: IncomingMessage): Promise<JSONRPCResponse | null> {
    let call: unknown;
    try {
      call = JSON.parse((await readBody(req, MAX_CALL_BYTES)).toString("utf8"));
    } catch (err) {
      return createJSONRPCErrorResponse(
        null,
        INVALID_REQUEST_CODE,
        String(err),
      );
    }
    if (!isJSONRPCRequest(call)) {
      const what = "not a JSON-RPC 2.0 request";
      return createJSONRPCErrorResponse(null, INVALID_REQUEST_CODE, what);
    }
    return this.server.receive(call);
  }
}

export interface RpcCallOptions {
  readonly timeoutMs?: number;
  readonly signal?: AbortSignal;
}

/** Calls the methods of one table on one process. */
export class RpcClient<T extends MethodTable> {
  private readonly http: JsonHttpClient;

  constructor(
    private readonly table: T,
    private readonly baseUrl: string,
  ) {
    this.http = new JsonHttpClient({ baseUrl });
  }

  /**
   * @throws ConnectError when nothing was sent
   * @throws LostAnswerError when the call may have taken effect
   * @throws RemoteError when the other process refused the call
   */
  async call<M extends keyof T & string>(
    method: M,
    params: ParamsOf<T, M>,
    options: RpcCallOptions = {},
  ): Promise<ResultOf<T, M>> {
    const result = await this.request(method, params, options);
    const shape = this.table[method] as MethodSchema;
    const parsed = shape.result.safeParse(result);
    if (!parsed.success) throw new BadAnswerError(this.baseUrl, parsed.error);
    return parsed.data as ResultOf<T, M>;
  }

  close(): void {
    this.http.close();
  }

  /**
   * The library keeps only the message of a send error, so the error
   * itself is kept here.
   */
  private async request(
    method: string,
    params: unknown,
    options: RpcCallOptions,
  ): Promise<unknown> {
    let sendFailure: unknown;
    const client: JSONRPCClient = new JSONRPCClient(async (request) => {
      try {
        const call = {
          method: "POST",
          path: RPC_PATH,
          body: request,
          ...options,
        } as const;
        const answer = await this.http.call(call, rpcResponseSchema);
        client.receive(answer as unknown as JSONRPCResponse);
      } catch (err) {
        sendFailure = err;
        throw err;
      }
    });
    try {
      return await client.request(method, params);
    } catch (err) {
      throw sendFailure ?? toRemoteError(err);
    }
  }
}

const rpcResponseSchema = z.looseObject({ jsonrpc: z.literal("2.0") });

export const toRemoteError = (err: unknown): RemoteError => {
  const data = (err as { data?: unknown }).data;
  const parsed = remoteErrorSchema.safeParse(data);
  if (!parsed.success) {
    const what = err instanceof Error ? err.message : String(err);
    return new RemoteError("internal", what, "see the other process's log");
  }
  const { kind, what, remedy } = parsed.data;
  return new RemoteError(kind, what, remedy);
};
