/** JSON calls over HTTP: serialises request bodies and validates response bodies. */

import { BadAnswerError, StatusError } from "./errors.js";
import {
  HttpClient,
  type HttpCall,
  type HttpClientOptions,
} from "./HttpClient.js";

export interface JsonCall extends Omit<HttpCall, "body"> {
  readonly body?: unknown;
}

/** Validates a parsed value; zod schemas implement it. */
export interface Parser<T> {
  parse(value: unknown): T;
}

export type JsonHttpClientOptions = HttpClientOptions;

export class JsonHttpClient {
  private readonly http: HttpClient;

  constructor(options: JsonHttpClientOptions) {
    this.http = new HttpClient(options);
  }

  /**
   * @throws ConnectError when nothing was sent
   * @throws LostAnswerError when the call may have taken effect
   * @throws StatusError for a response of status 400 or higher
   * @throws BadAnswerError when the body does not parse
   */
  async call<T>(call: JsonCall, parser: Parser<T>): Promise<T> {
    const url = this.http.urlOf(call.path);
    const { status, body } = await this.http.call(toHttpCall(call));
    const text = body.toString("utf8");
    if (status >= 400) throw new StatusError(url, status, text);
    try {
      return parser.parse(JSON.parse(text));
    } catch (err) {
      throw new BadAnswerError(url, err);
    }
  }

  close(): void {
    this.http.close();
  }
}

const toHttpCall = ({ body, headers, ...call }: JsonCall): HttpCall =>
  body === undefined
    ? { ...call, headers }
    : {
        ...call,
        body: JSON.stringify(body),
        headers: { ...headers, "content-type": "application/json" },
      };
