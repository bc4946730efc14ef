/** Handlers for the calls of entries to a side. */

import type { Clock, Incarnation, Logger } from "@rackspan/common";
import type { Handlers, SideMethods } from "@rackspan/protocol";
import type { Commitments } from "./Commitments.js";
import { LeavingError, NotReadyError, ReservationGoneError } from "./errors.js";
import type { RequestFences } from "./RequestFences.js";
import type { SideSettings } from "./settings.js";
import type { StatusPublisher } from "./StatusPublisher.js";
import type { TaskSupervisor } from "./TaskSupervisor.js";

export interface SideHandlersOptions {
  readonly settings: SideSettings;
  readonly incarnation: Incarnation;
  readonly tasks: TaskSupervisor;
  readonly commitments: Commitments;
  readonly fences: RequestFences;
  readonly statusPublisher: StatusPublisher;
  readonly clock: Clock;
  readonly logger: Logger;
}

export const createSideHandlers = ({
  settings,
  incarnation,
  tasks,
  commitments,
  fences,
  statusPublisher,
  logger,
}: SideHandlersOptions): Handlers<SideMethods> => ({
  sync: ({ knownIncarnation, knownRevision, waitMs }) =>
    statusPublisher.read(
      { incarnation: knownIncarnation, revision: knownRevision },
      waitMs,
    ),

  reserve: ({ task, unit, attempt, kind, service, resources }) => {
    if (!tasks.ready) throw new NotReadyError();
    if (statusPublisher.leaving) throw new LeavingError();
    if (tasks.isFenced(task)) throw new ReservationGoneError(task);
    const identity = { task, unit, attempt, kind, service };
    const { id } = commitments.reserve(identity, resources);
    const ttlMs = settings.tasks.reservationTtlMs;
    return { reservation: id, generation: settings.generation, ttlMs };
  },

  releaseReservation: ({ reservation }) => {
    commitments.release(reservation);
    return {};
  },

  start: async (request) => {
    await tasks.start(request);
    return {};
  },

  stop: async ({ task, checkpoint }) => {
    await tasks.stop(task, checkpoint);
    return {};
  },

  throttle: async ({ task, share }) => {
    await tasks.throttle(task, share);
    return {};
  },

  fenceTask: ({ task }) => {
    if (!tasks.ready) throw new NotReadyError();
    return { state: tasks.fence(task) };
  },

  acknowledge: async ({ tasks: names }) => {
    await tasks.acknowledge(names);
    return {};
  },

  fenceRequest: ({
    request,
    attempt,
    incarnation: expectedIncarnation,
    ageMs,
  }) => ({
    // An earlier incarnation of this process has ended with its requests; which of them had
    // started is unknown here.
    started:
      expectedIncarnation === incarnation
        ? fences.fence({ request, attempt }, ageMs)
        : "unknown",
  }),

  drain: async () => {
    logger.info("host.drain");
    statusPublisher.startLeaving();
    await tasks.stopAll();
    return {};
  },
});
