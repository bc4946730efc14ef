/**
 * Distribution of a ratio of run times, learned from observations: a histogram of the
 * natural logarithm, in which old observations fade. A mean hides the few tasks that
 * take several times as long as their siblings, and those decide when a step ends.
 */

const HISTOGRAM = {
  /** Width of a bucket of the natural logarithm; 0.1 is a tenth of the ratio. */
  bucketWidth: 0.1,
  /** Logarithms beyond these limits count as the limit: ratios of 0.05 and 20. */
  maxLogarithm: 3,
  /** Observations that count; with more, each new one makes all older ones fade. */
  memory: 3_000,
} as const;

const BUCKETS =
  Math.round((2 * HISTOGRAM.maxLogarithm) / HISTOGRAM.bucketWidth) + 1;

const bucketOf = (ratio: number): number => {
  const { bucketWidth, maxLogarithm } = HISTOGRAM;
  const bounded = Math.max(
    -maxLogarithm,
    Math.min(maxLogarithm, Math.log(ratio)),
  );
  return Math.round((bounded + maxLogarithm) / bucketWidth);
};

const ratioOf = (bucket: number): number =>
  Math.exp(bucket * HISTOGRAM.bucketWidth - HISTOGRAM.maxLogarithm);

export class RuntimeDistribution {
  private readonly counts = new Float64Array(BUCKETS);
  private total = 0;
  /** Sums of the counts up to each bucket; undefined after a change. */
  private sums: Float64Array | undefined;

  /** Number of observations, at most the memory. */
  get count(): number {
    return this.total;
  }

  record(ratio: number): void {
    if (!(ratio > 0)) return;
    if (this.total >= HISTOGRAM.memory) this.scale(1 - 1 / HISTOGRAM.memory);
    this.add(bucketOf(ratio), 1);
  }

  /** Returns the share of observations up to the ratio; 1 or 0 around 1 without any. */
  shareUpTo(ratio: number): number {
    if (this.total === 0) return ratio >= 1 ? 1 : 0;
    if (ratio <= 0) return 0;
    const sum = this.cumulative()[bucketOf(ratio)] ?? 0;
    return Math.min(1, sum / this.total);
  }

  /** Returns the ratio below which the given share of the observations lies. */
  quantile(share: number): number {
    if (this.total === 0) return 1;
    const bucket = this.cumulative().findIndex(
      (sum) => sum >= share * this.total,
    );
    return ratioOf(bucket < 0 ? BUCKETS - 1 : bucket);
  }

  /** Returns the buckets that are not empty, with their counts rounded to hundredths. */
  toBuckets(): [number, number][] {
    const buckets: [number, number][] = [];
    this.counts.forEach((count, bucket) => {
      const rounded = Math.round(100 * count) / 100;
      if (rounded > 0) buckets.push([bucket, rounded]);
    });
    return buckets;
  }

  /** Adds the buckets that a previous leader has persisted. */
  restore(buckets: readonly (readonly [number, number])[]): void {
    for (const [bucket, count] of buckets) {
      if (Number.isInteger(bucket) && bucket >= 0 && bucket < BUCKETS)
        this.add(bucket, count);
    }
    if (this.total > HISTOGRAM.memory)
      this.scale(HISTOGRAM.memory / this.total);
  }

  private cumulative(): Float64Array {
    if (this.sums) return this.sums;
    let sum = 0;
    this.sums = this.counts.map((count) => (sum += count));
    return this.sums;
  }

  private add(bucket: number, count: number): void {
    this.sums = undefined;
    this.counts[bucket] = (this.counts[bucket] ?? 0) + count;
    this.total += count;
  }

  private scale(factor: number): void {
    this.sums = undefined;
    for (let bucket = 0; bucket < BUCKETS; bucket += 1)
      this.counts[bucket] = (this.counts[bucket] ?? 0) * factor;
    this.total *= factor;
  }
}
