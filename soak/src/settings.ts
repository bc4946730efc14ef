/** Builds the settings files of the programs, as the deployment's templates render them. */

/** Time limits of the site, in milliseconds unless the name has another unit. */
export const BOUNDS = {
  leaseMs: 6_000,
  stopMs: 200,
  outOfTouchMs: 3_000,
  cancelMs: 2_500,
  graceSeconds: 3,
} as const;

/** The features that deploy/ switches on. */
export const DEPLOYED = {
  peers: { forwardsRequests: true },
  policy: {
    recordsPlacements: true,
    forecastsServingLoad: true,
    consolidatesServing: true,
  },
  worker: { fencesLives: true },
} as const;

/** Sizes that the store of a run accepts, bytes; see RecordLimits. */
export interface StoreLimits {
  readonly recordBytes: number;
  readonly callBytes: number;
}

export interface EntryLocation {
  readonly name: string;
  readonly ip: string;
  readonly callersPort: number;
  readonly sidesPort: number;
  readonly store: string;
  /** The product's defaults if absent. */
  readonly limits?: StoreLimits | undefined;
}

export const entrySettings = (at: EntryLocation): object => ({
  entry: at.name,
  availabilityZone: "z",
  platform: { client: "hosted", store: at.store, limits: at.limits },
  callers: `${at.ip}:${at.callersPort}`,
  readiness: `${at.ip}:0`,
  sides: `${at.ip}:${at.sidesPort}`,
  leases: { workerLeaseMs: BOUNDS.leaseMs, stopMs: BOUNDS.stopMs },
  graceSeconds: BOUNDS.graceSeconds,
  peers: DEPLOYED.peers,
  scheduling: { policy: DEPLOYED.policy },
});

export interface SideLocation {
  readonly host: string;
  readonly zone: string;
  readonly store: string;
  readonly worker: string;
  readonly inbox: string;
  readonly entries: readonly string[];
  readonly entryPort: number;
}

/**
 * @param knowsLeases whether the program's settings have the time limits of leases;
 * earlier versions reject unknown fields
 */
export const sideSettings = (
  at: SideLocation,
  knowsLeases: boolean,
): object => ({
  host: at.host,
  availabilityZone: at.zone,
  platform: { client: "hosted", store: at.store },
  worker: { address: at.worker, ...DEPLOYED.worker },
  inbox: at.inbox,
  entries: at.entries,
  entryPort: at.entryPort,
  ...(knowsLeases && {
    leases: {
      outOfTouchMs: BOUNDS.outOfTouchMs,
      cancelMs: BOUNDS.cancelMs,
      stopMs: BOUNDS.stopMs,
    },
  }),
});
