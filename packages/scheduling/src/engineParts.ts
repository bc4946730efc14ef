/** The components that the parts of the job engine share. */

import type { OutlierEjector } from "@rackspan/routing";
import type { EngineOptions } from "./engineTypes.js";
import type { RuntimeEstimator } from "./RuntimeEstimator.js";
import type { HostRegistry } from "./HostRegistry.js";
import type { JobRegistry } from "./JobRegistry.js";
import type { PermitTracker } from "./PermitTracker.js";
import type { PlacementLog } from "./PlacementLog.js";
import type { RunStarter } from "./RunStarter.js";
import type { RunStopper } from "./RunStopper.js";
import type { TaskPlacer } from "./taskPlacers.js";
import type { StepWaitMonitor } from "./StepWaitMonitor.js";

export interface EngineParts {
  readonly options: EngineOptions;
  readonly jobs: JobRegistry;
  readonly hosts: HostRegistry;
  readonly runStarter: RunStarter;
  readonly runStopper: RunStopper;
  readonly estimates: RuntimeEstimator;
  readonly ejector: OutlierEjector;
  readonly waits: StepWaitMonitor;
  readonly placer: TaskPlacer;
  readonly permitTracker: PermitTracker;
  /** Undefined if this leader records no placements. */
  readonly placementLog: PlacementLog | undefined;
  /** Requests a scheduling cycle soon. */
  readonly requestCycle: () => void;
}
