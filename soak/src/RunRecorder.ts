/** Records the runs of all workers, with times of one monotonic clock. */

import type { HostId, JobTaskId, RunNumber } from "@rackspan/common";
import { RunHistory, type RunSeen } from "@rackspan/checker";
import type { RunObserver, WorkerRun } from "@rackspan/platform-standins";

export class RunRecorder {
  readonly history = new RunHistory();
  readonly seen: RunSeen[] = [];

  /** Returns an observer for one incarnation of the host's worker. */
  observe(host: HostId): RunObserver {
    const runsSeen = new Map<WorkerRun, RunSeen>();
    return {
      began: (run) => {
        const seen = this.recordStart(host, run);
        runsSeen.set(run, seen);
      },
      ended: (run, outcome) => {
        const seen = runsSeen.get(run);
        if (!seen) return;
        seen.endedAt = performance.now();
        seen.outcome = outcome as RunSeen["outcome"];
      },
      noted: (run) => {
        const seen = runsSeen.get(run);
        if (seen) seen.noted = true;
      },
    };
  }

  private recordStart(host: HostId, { task, run }: WorkerRun): RunSeen {
    const seen: RunSeen = {
      task: task as unknown as JobTaskId,
      run: run as unknown as RunNumber,
      host,
      beganAt: performance.now(),
      endedAt: undefined,
      outcome: undefined,
      noted: false,
    };
    this.seen.push(seen);
    this.history.begin(seen);
    return seen;
  }

  /** One line per run, with wall-clock times as in the programs' logs. */
  toLogLines(): string[] {
    return this.seen.map(
      ({ task, run, host, beganAt, endedAt, outcome, noted }) =>
        `${task} run=${run} host=${host} began=${wallTime(beganAt)} ended=${
          endedAt === undefined ? "-" : wallTime(endedAt)
        } outcome=${outcome ?? "-"} noted=${noted}`,
    );
  }
}

const wallTime = (at: number): string =>
  new Date(performance.timeOrigin + at).toISOString();
