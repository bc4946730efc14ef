/** Sends requests without a network, with the faults of a network. */

import { sleep, type Clock, type RequestId } from "@rackspan/common";
import type { SentAttempt } from "@rackspan/entry";
import {
  AttemptFailedError,
  HEADER,
  type AttemptOptions,
} from "@rackspan/protocol";
import type { History } from "./history.js";
import type { SideNode } from "./SideNode.js";

/** `late`: arrives after the timeout of the entry. `answer-lost`: runs, but its answer is lost. */
export type RequestFault =
  "none" | "not-sent" | "lost" | "late" | "answer-lost";

export interface FakeAttemptsOptions {
  readonly clock: Clock;
  readonly history: History;
  readonly sideOf: (incarnation: string) => SideNode | undefined;
  readonly nextFault: () => RequestFault;
}

const LATENCY_MS = 2;
const LATE_ARRIVAL_MS = 400;
const TIMEOUT_MS = 100;

/** Reads one header of a flat list of names and values. */
const headerOf = (headers: readonly string[], name: string): string => {
  const at = headers.findIndex(
    (value, index) => index % 2 === 0 && value === name,
  );
  return headers[at + 1] ?? "";
};

const answerWith = (headers: Readonly<Record<string, string>>, text: string) =>
  ({ statusCode: 200, headers, text, resume: () => undefined }) as never;

export const createSendAttempt = ({
  clock,
  history,
  sideOf,
  nextFault,
}: FakeAttemptsOptions) => {
  const deliver = (options: AttemptOptions) => {
    const side = sideOf(headerOf(options.headers, HEADER.INCARNATION));
    if (!side || side.clock.isDead) return undefined;
    const request = headerOf(options.headers, HEADER.REQUEST_ID) as RequestId;
    const attempt = Number(headerOf(options.headers, HEADER.ATTEMPT));
    const start = side.statusPublisher.leaving
      ? "fenced"
      : side.fences.tryStart({ request, attempt });
    if (start !== "started") {
      const outcome = start === "fenced" ? "not-run" : "unknown";
      return answerWith(
        { [HEADER.OUTCOME]: outcome, [HEADER.REASON]: "fenced" },
        "",
      );
    }
    const key = String(options.body);
    history.record({ type: "requestRan", request, key, host: side.label });
    return answerWith({}, key);
  };
  const exchange = async (options: AttemptOptions): Promise<never> => {
    const fault = nextFault();
    const fail = (mayHaveRun: boolean): never => {
      throw new AttemptFailedError(mayHaveRun, options.address, fault);
    };
    await sleep(clock, LATENCY_MS);
    if (fault === "not-sent") return fail(false);
    if (fault === "late")
      clock.after(LATE_ARRIVAL_MS, () => void deliver(options));
    if (fault === "lost" || fault === "late") {
      await sleep(clock, TIMEOUT_MS);
      return fail(true);
    }
    const answer = deliver(options);
    await sleep(clock, LATENCY_MS);
    if (answer === undefined || fault === "answer-lost") return fail(true);
    return answer;
  };
  return (options: AttemptOptions): SentAttempt => {
    let cancel: () => void = () => undefined;
    const cancelled = new Promise<never>((_, reject) => {
      cancel = () =>
        reject(new AttemptFailedError(true, options.address, "cancelled"));
    });
    const answer = Promise.race([exchange(options), cancelled]);
    answer.catch(() => undefined);
    return { response: answer, cancel };
  };
};
