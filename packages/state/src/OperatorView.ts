/** Folds what the operator has written: the configuration, and zones to evacuate. */

import {
  describeError,
  Registry,
  type AvailabilityZone,
  type Logger,
} from "@rackspan/common";
import type { KeyedRecord } from "@rackspan/ports";
import type { ConfigHolder } from "./ConfigHolder.js";
import type { EvacuatedZones } from "./EvacuatedZones.js";
import type { SiteConfig } from "./jobModel.js";

/** One record of the operator's. */
export type OperatorRecord =
  | { readonly kind: "config"; readonly config: SiteConfig }
  | {
      readonly kind: "evacuation";
      readonly zone: AvailabilityZone;
      /** False once the zone is taken back. */
      readonly isEvacuated: boolean;
    };

/** Reads what the operator has written, in the platform's own form. */
export interface OperatorDecoder {
  /**
   * @returns undefined for a record that says nothing to this product
   * @throws Error of any kind when the record names something and cannot be read
   */
  decode(record: KeyedRecord): OperatorRecord | undefined;
}

export const operatorDecoders = new Registry<
  Readonly<Record<string, never>>,
  OperatorDecoder
>("decoder of the operator's records");

export interface OperatorViewOptions {
  readonly decoder: OperatorDecoder;
  readonly config: ConfigHolder;
  readonly zones: EvacuatedZones;
  readonly logger: Logger;
}

export class OperatorView {
  constructor(private readonly options: OperatorViewOptions) {}

  applyRecords(records: readonly KeyedRecord[]): void {
    for (const record of records) {
      try {
        this.apply(this.options.decoder.decode(record));
      } catch (err) {
        const error = describeError(err);
        const { key } = record;
        this.options.logger.error("operator.unreadable", { key, error });
      }
    }
  }

  private apply(record: OperatorRecord | undefined): void {
    const { config, zones } = this.options;
    switch (record?.kind) {
      case undefined:
        return;
      case "config":
        config.applyIfNewer(record.config);
        return;
      case "evacuation":
        zones.setEvacuated(record.zone, record.isEvacuated);
        return;
    }
  }
}
