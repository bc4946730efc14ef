/** The events that callers, operators, workers and the log observed in one run, by time. */

import type { Resources } from "@rackspan/common";

/** Events name hosts by name and generation, as `host-1@2`: a replacement is another machine. */
interface Timed {
  /** Milliseconds since the start of the run. */
  readonly at: number;
}

export type HistoryEvent = Timed &
  (
    | {
        readonly type: "capacity";
        readonly host: string;
        readonly capacity: Resources;
      }
    | {
        readonly type: "taskStarted";
        readonly host: string;
        readonly unit: string;
        readonly task: string;
        readonly resources: Resources;
        readonly checkpoint: string | undefined;
      }
    | {
        readonly type: "taskEnded";
        readonly host: string;
        readonly unit: string;
        readonly task: string;
        readonly end: string;
        readonly checkpoint: string | undefined;
      }
    /** The result of the task was on a host that was lost before its receipt was confirmed. */
    | { readonly type: "resultLost"; readonly task: string }
    | { readonly type: "jobAccepted"; readonly unit: string }
    /** The state at the end of the run, after all faults have ended. */
    | {
        readonly type: "jobFinal";
        readonly unit: string;
        readonly finish: string | undefined;
      }
    | {
        readonly type: "requestRan";
        readonly request: string;
        readonly key: string;
        readonly host: string;
      }
    | {
        readonly type: "requestCut";
        readonly request: string;
        readonly plannedStop: boolean;
      }
    | {
        readonly type: "requestAnswered";
        readonly request: string;
        /** The request whose answer the caller received. */
        readonly answerOf: string;
        readonly whole: boolean;
      }
    | { readonly type: "toldNotRun"; readonly request: string }
    | { readonly type: "hostLeaving"; readonly host: string }
    | {
        readonly type: "configAccepted";
        readonly name: string;
        readonly value: number;
        readonly version: number;
        readonly base: number;
      }
    /** The configuration version of a ready process. */
    | {
        readonly type: "configSeen";
        readonly process: string;
        readonly version: number;
      }
    | {
        readonly type: "configFinal";
        readonly process: string;
        readonly name: string;
        readonly value: number;
      }
  );

/** An event without its time, which the history adds. */
export type UntimedEvent = HistoryEvent extends infer E
  ? E extends Timed
    ? Omit<E, "at">
    : never
  : never;

export class History {
  readonly events: HistoryEvent[] = [];

  constructor(private readonly now: () => number) {}

  record(event: UntimedEvent): void {
    this.events.push({ ...event, at: this.now() } as HistoryEvent);
  }
}
