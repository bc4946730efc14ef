/** The books and controls that the parts of the job engine work on together. */

import type { OutlierEjector } from "@rackspan/routing";
import type { EngineOptions } from "./engineTypes.js";
import type { EstimateBook } from "./EstimateBook.js";
import type { HostBook } from "./HostBook.js";
import type { JobBook } from "./JobBook.js";
import type { RunControl } from "./RunControl.js";
import type { StopControl } from "./StopControl.js";

export interface EngineParts {
  readonly options: EngineOptions;
  readonly jobs: JobBook;
  readonly hosts: HostBook;
  readonly runs: RunControl;
  readonly stops: StopControl;
  readonly estimates: EstimateBook;
  readonly ejector: OutlierEjector;
  /** Has the waiting work looked at soon. */
  readonly requestPass: () => void;
}
