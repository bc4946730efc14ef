/** Errors with which a side process refuses calls. */

import { RackspanError, type Resources } from "@rackspan/common";

const describe = ({ processors, memoryMiB, accelerators }: Resources): string =>
  `processors=${processors} memoryMiB=${memoryMiB} accelerators=${accelerators}`;

/** The host lacks the requested resources. */
export class OverCommitError extends RackspanError {
  readonly kind = "over-commit";
  constructor(task: string, asked: Resources, free: Resources) {
    super({
      what: `${task} asks for ${describe(asked)}, free are ${describe(free)}`,
      remedy: "choose another host, or lower what the task asks for",
    });
  }
}

export class NotReadyError extends RackspanError {
  readonly kind = "not-ready";
  constructor() {
    super({
      what: "this side process has not yet learned what its worker runs",
      remedy: "choose another host, or retry when it is ready",
    });
  }
}

export class LeavingError extends RackspanError {
  readonly kind = "leaving";
  constructor() {
    super({ what: "this host is leaving", remedy: "choose another host" });
  }
}

/** The task must not start here: its reservation has expired, or it was fenced. */
export class ReservationGoneError extends RackspanError {
  readonly kind = "reservation-gone";
  constructor(task: string) {
    super({
      what: `there is no reservation for ${task}`,
      remedy: "the attempt ends as never started; claim the next one",
    });
  }
}

export class UnknownTaskError extends RackspanError {
  readonly kind = "unknown-task";
  constructor(task: string) {
    super({
      what: `${task} is not held here`,
      remedy: "see the host that its claim names",
    });
  }
}
