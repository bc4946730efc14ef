/** Mean pace of a filling run over its readings, as a share of full pace. */

export class MeanPace {
  private sum = 0;
  private readings = 0;

  record(usedMilliCores: number, requestedMilliCores: number): void {
    if (requestedMilliCores <= 0) return;
    this.sum += Math.min(1, usedMilliCores / requestedMilliCores);
    this.readings += 1;
  }

  /** Undefined before the first reading. */
  get share(): number | undefined {
    return this.readings === 0 ? undefined : this.sum / this.readings;
  }
}
