/** Models gangs: a gang starts running when all members have started, and ends as a unit. */

import type { Clock, JobTaskId } from "@rackspan/common";
import type { RunOutcome } from "@rackspan/ports";

const GANG = {
  /** How long a member waits for the other members, milliseconds. */
  waitMs: 1_500,
  /** Delay until the other members end after one member has ended, milliseconds. */
  breakMs: 20,
} as const;

/** The values that all members of one gang run share. */
export interface GangRun {
  /** The step of the job and the run number. */
  readonly key: string;
  readonly size: number;
  readonly runMs: number;
  readonly fails: boolean;
}

type EndMember = (outcome: RunOutcome) => void;

interface Group {
  readonly members: Map<JobTaskId, EndMember>;
  hasBegun: boolean;
  isOver: boolean;
}

export class GangRunTracker {
  private readonly groups = new Map<string, Group>();

  constructor(private readonly clock: Clock) {}

  /** Adds a member that has started. @param end ends the member at its worker */
  join(run: GangRun, task: JobTaskId, end: EndMember): void {
    const group = this.groups.get(run.key) ?? this.open(run.key);
    group.members.set(task, end);
    if (group.isOver) this.breakLater(group);
    if (group.hasBegun || group.members.size < run.size) return;
    group.hasBegun = true;
    this.clock.after(run.runMs, () => finish(group, run.fails));
  }

  /** Removes a member that has ended, or whose worker has ended; the other members then end too. */
  memberEnded(key: string, task: JobTaskId): void {
    const group = this.groups.get(key);
    if (!group?.members.delete(task) || !group.hasBegun) return;
    if (group.isOver) return;
    group.isOver = true;
    this.breakLater(group);
  }

  private open(key: string): Group {
    const group: Group = {
      members: new Map(),
      hasBegun: false,
      isOver: false,
    };
    this.groups.set(key, group);
    this.clock.after(GANG.waitMs, () => {
      if (!group.hasBegun) endAll(group, "alone");
    });
    return group;
  }

  private breakLater(group: Group): void {
    this.clock.after(GANG.breakMs, () => endAll(group, "broken"));
  }
}

const endAll = ({ members }: Group, outcome: RunOutcome): void => {
  const ends = [...members.values()];
  members.clear();
  for (const end of ends) end(outcome);
};

const finish = (group: Group, fails: boolean): void => {
  if (group.isOver) return;
  if (fails) {
    const [first] = group.members.values();
    first?.("failed");
    return;
  }
  group.isOver = true;
  endAll(group, "done");
};
