/** The handlers of operator calls. */

import {
  firstShortage,
  RackspanError,
  taskIdOf,
  type Clock,
  type HostGeneration,
  type HostId,
  type Metrics,
  type UnitId,
} from "@rackspan/common";
import { compilePolicy } from "@rackspan/policies";
import { RpcClient, type Handlers } from "@rackspan/protocol";
import type {
  Appender,
  Change,
  Fold,
  JobDeclaration,
  LogFollower,
  Unit,
  ApplyResult,
} from "@rackspan/state";
import type { HostListWatcher } from "./HostListWatcher.js";
import {
  OPERATOR_METHODS,
  type OperatorMethods,
  type OperatorStatus,
  type OperationResult,
  type UnitSummary,
} from "./operatorMethods.js";
import type { SideDirectory } from "./SideDirectory.js";

export interface OperatorHandlersOptions {
  readonly host: HostId;
  readonly fold: Fold;
  readonly follower: LogFollower;
  readonly appender: Appender;
  readonly sides: SideDirectory;
  readonly hostList: HostListWatcher;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly isReady: () => boolean;
  readonly appendTimeoutMs: number;
}

const PEER_TIMEOUT_MS = 1_000;

export class UnknownHostError extends RackspanError {
  readonly kind = "unknown-host";
  constructor(host: HostId) {
    super({
      what: `no host ${host} is known here`,
      remedy: "see rackspan status for the hosts that are",
    });
  }
}

export class NotRunningError extends RackspanError {
  readonly kind = "not-running";
  constructor(unit: UnitId) {
    super({
      what: `${unit} does not run now`,
      remedy: "see rackspan get units for those that do",
    });
  }
}

/** The job requests more of a resource than any known host has. */
export class NeverFitsError extends RackspanError {
  readonly kind = "never-fits";
  constructor(job: string, amount: string) {
    super({
      what: `${job} asks for more ${amount} than any host has`,
      remedy: `lower "${amount}" or split the job`,
    });
  }
}

export const createOperatorHandlers = (
  options: OperatorHandlersOptions,
): Handlers<OperatorMethods> => {
  const { fold, appender, appendTimeoutMs, sides } = options;
  return {
    apply: async ({ operator, base, changes }) => {
      checkPolicies(changes);
      const record = { type: "apply", operator, base, changes } as const;
      return toOperationResult(await appender.submit(record, appendTimeoutMs));
    },
    get: () => ({
      version: fold.config.version,
      declarations: fold.config.all().map(({ declaration }) => declaration),
    }),
    submit: async ({ job }) => {
      checkFitsSomeHost(job, sides);
      return toOperationResult(
        await appender.submit({ type: "submit", job }, appendTimeoutMs),
      );
    },
    cancel: async ({ unit }) =>
      toOperationResult(
        await appender.submit({ type: "cancel", unit }, appendTimeoutMs),
      ),
    units: ({ prefix, limit }) => ({ units: listUnits(fold, prefix, limit) }),
    entryStatus: () => entryStatus(options),
    status: () => fullStatus(options),
    drain: async ({ host }) => {
      const view = sides.view(host);
      if (!view) throw new UnknownHostError(host);
      const { generation } = view;
      const record = { type: "hostDraining", host, generation } as const;
      return toOperationResult(await appender.submit(record, appendTimeoutMs));
    },
    throttle: async ({ unit: id, share }) => {
      const unit = fold.units.get(id);
      const side = unit?.claim && sides.get(unit.claim.host);
      if (!unit || !side) throw new NotRunningError(id);
      await side.throttle(taskIdOf(id, unit.attempt), share);
      return { host: side.record.host as string };
    },
    fence: async ({ host }) => {
      const generation = highestClaimedGeneration(fold, host);
      const record = {
        type: "hostEnded",
        host,
        generation,
        certifiedBy: "operator",
      } as const;
      return toOperationResult(await appender.submit(record, appendTimeoutMs));
    },
  };
};

const toOperationResult = (result: ApplyResult): OperationResult => ({
  ...result,
});

/** @throws PolicyError for the first policy program that does not compile */
const checkPolicies = (changes: readonly Change[]): void => {
  for (const change of changes) {
    if (change.action !== "put" || change.declaration.kind !== "policy")
      continue;
    compilePolicy(change.declaration.point, change.declaration.program);
  }
};

/** @throws NeverFitsError unless some host has the capacity for the job, even if not free now */
const checkFitsSomeHost = (job: JobDeclaration, sides: SideDirectory): void => {
  const hosts = sides.views().filter(({ ready }) => ready);
  const shortages = hosts.map(({ capacity }) =>
    firstShortage(job.resources, capacity),
  );
  const [first] = shortages;
  if (
    first !== undefined &&
    shortages.every((shortage) => shortage !== undefined)
  ) {
    throw new NeverFitsError(job.name, first);
  }
};

/** @throws UnknownHostError if no unit is claimed by the host */
const highestClaimedGeneration = (fold: Fold, host: HostId): HostGeneration => {
  const generations = fold.units
    .claimedBy(host)
    .flatMap(({ claim }) => (claim ? [claim.generation] : []));
  const [first, ...rest] = generations;
  if (first === undefined) throw new UnknownHostError(host);
  return rest.reduce(
    (highest, next) => (next > highest ? next : highest),
    first,
  );
};

const summarize = (unit: Unit): UnitSummary => ({
  unit: unit.id,
  phase: unit.phase,
  attempt: unit.attempt,
  failures: unit.failures,
  host: unit.claim?.host,
  finish: unit.finish,
  lastEnd: unit.lastEnd,
  lastDetail: unit.lastDetail,
});

const listUnits = (
  fold: Fold,
  prefix: string,
  limit: number,
): UnitSummary[] => {
  const all = [...fold.units.unfinishedUnits(), ...fold.units.finishedUnits()];
  return all
    .filter(({ id }) => id.startsWith(prefix))
    .slice(0, limit)
    .map(summarize);
};

const entryStatus = ({
  host,
  fold,
  follower,
  appender,
  isReady,
}: OperatorHandlersOptions) => ({
  entry: host as string,
  ready: isReady(),
  configVersion: fold.config.version as number,
  logPosition: follower.position as number,
  logSilentMs: Math.min(follower.sinceLastReadMs, Number.MAX_SAFE_INTEGER),
  appendsQueued: appender.queueLength,
});

const fullStatus = async (
  options: OperatorHandlersOptions,
): Promise<OperatorStatus> => {
  const { fold, sides, metrics } = options;
  const open = fold.units.openUnits().length;
  const refusals = await metrics.values("refused");
  return {
    ...entryStatus(options),
    hosts: sides.views().map((view) => ({ ...view, tasks: view.tasks.length })),
    units: {
      open,
      claimed: fold.units.unfinishedCount - open,
      finished: fold.units.finishedUnits().length,
    },
    peers: await queryPeers(options),
    refusals: refusals.map(({ labels, value }) => ({
      reason: labels["reason"] ?? "",
      outcome: labels["outcome"] ?? "",
      count: value,
    })),
  };
};

const queryPeers = ({ host, hostList }: OperatorHandlersOptions) => {
  const others = hostList
    .liveEntries()
    .filter((record) => record.host !== host);
  return Promise.all(
    others.map(async (record) => {
      const rpc = new RpcClient(OPERATOR_METHODS, `http://${record.address}`);
      try {
        const status = await rpc.call(
          "entryStatus",
          {},
          { timeoutMs: PEER_TIMEOUT_MS },
        );
        return { host: record.host as string, status };
      } catch {
        return { host: record.host as string };
      } finally {
        rpc.close();
      }
    }),
  );
};
