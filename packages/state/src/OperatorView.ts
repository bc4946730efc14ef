/** Applies the operator's records: the configuration, and the zones to evacuate. */

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

/** A decoded record of the operator. */
export type OperatorRecord =
  | { readonly kind: "config"; readonly config: SiteConfig }
  | {
      readonly kind: "evacuation";
      readonly zone: AvailabilityZone;
      /** False once the operator ends the evacuation. */
      readonly isEvacuated: boolean;
    };

/** Decodes the operator's records, whose format is specific to the platform. */
export interface OperatorDecoder {
  /**
   * @returns undefined for a record that does not concern rackspan
   * @throws Error of any kind when the record does concern it but cannot be read
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
