/**
 * The runs of gangs on all workers of a site. The members of one run begin to work when all of
 * them are present, and end together (PROTOCOL.md, "Jobs" and "Running tasks").
 */

import { clearTimeout, setTimeout } from "node:timers";
import { stepOf } from "./Worker.mjs";

const WAIT_FOR_OTHERS_MS = 3_000;

export class Gangs {
  gangs = new Map();

  /**
   * @param run the member's run; `endAs` ends it
   * @param size number of members
   * @param workMs time after which the gang ends `done`; undefined if it never does
   */
  join(run, size, workMs) {
    const key = `${stepOf(run.task)}#${run.run}`;
    const gang = this.gangs.get(key) ?? { members: new Set(), hasBegun: false };
    this.gangs.set(key, gang);
    gang.members.add(run);
    run.gang = gang;
    if (gang.members.size < size) {
      run.timer = setTimeout(() => run.endAs("alone"), WAIT_FOR_OTHERS_MS);
      return;
    }
    gang.hasBegun = true;
    for (const member of gang.members) clearTimeout(member.timer);
    if (workMs !== undefined)
      gang.timer = setTimeout(() => endAll(gang, "done"), workMs);
  }

  /** The member's run has ended; the others of a gang at work end with it. */
  leave(run) {
    const { gang } = run;
    gang.members.delete(run);
    if (!gang.hasBegun) return;
    clearTimeout(gang.timer);
    endAll(gang, "broken");
  }
}

const endAll = (gang, how) => {
  const members = [...gang.members];
  gang.hasBegun = false;
  gang.members.clear();
  for (const member of members) member.endAs(how);
};
