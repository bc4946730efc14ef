/** Records the runs of all workers, with times of one monotonic clock. */

import type { HostId, JobTaskId, RunNumber } from "@rackspan/common";
import { RunHistory, type ObservedRun } from "@rackspan/checker";
import type { RunObserver, WorkerRun } from "@rackspan/platform-standins";

export class RunRecorder {
  readonly history = new RunHistory();
  readonly seen: ObservedRun[] = [];

  /** Returns an observer for one incarnation of the host's worker. */
  observe(host: HostId): RunObserver {
    const runsSeen = new Map<WorkerRun, ObservedRun>();
    return {
      began: (run) => {
        const seen = this.recordStart(host, run);
        runsSeen.set(run, seen);
      },
      ended: (run, outcome) => {
        const seen = runsSeen.get(run);
        if (!seen) return;
        seen.endedAt = performance.now();
        seen.outcome = outcome as ObservedRun["outcome"];
      },
      acknowledged: (run) => {
        const seen = runsSeen.get(run);
        if (seen) seen.endAcknowledged = true;
      },
    };
  }

  private recordStart(host: HostId, { task, run }: WorkerRun): ObservedRun {
    const seen: ObservedRun = {
      task: task as unknown as JobTaskId,
      run: run as unknown as RunNumber,
      host,
      beganAt: performance.now(),
      endedAt: undefined,
      outcome: undefined,
      endAcknowledged: false,
    };
    this.seen.push(seen);
    this.history.begin(seen);
    return seen;
  }

  /** One line per run, with wall-clock times as in the programs' logs. */
  toLogLines(): string[] {
    return this.seen.map(
      ({
        task,
        run,
        host,
        beganAt,
        endedAt,
        outcome,
        endAcknowledged: noted,
      }) =>
        `${task} run=${run} host=${host} began=${wallTime(beganAt)} ended=${
          endedAt === undefined ? "-" : wallTime(endedAt)
        } outcome=${outcome ?? "-"} noted=${noted}`,
    );
  }
}

const wallTime = (at: number): string =>
  new Date(performance.timeOrigin + at).toISOString();
