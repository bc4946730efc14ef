/**
 * The plug-in point for pickers, which choose the endpoint for one attempt of a
 * request.
 */

import { Registry, type AvailabilityZone, type Random } from "@rackspan/common";
import type { EndpointView } from "./types.js";

export interface EndpointPicker {
  /**
   * @param candidates endpoints in service, in no particular order; not empty
   * @returns one of the candidates
   */
  pick(candidates: readonly EndpointView[]): EndpointView;
}

export interface PickerOptions {
  readonly random: Random;
  /** The availability zone of the entry that picks. */
  readonly availabilityZone: AvailabilityZone;
}

export const endpointPickers = new Registry<PickerOptions, EndpointPicker>(
  "endpoint picker",
);
