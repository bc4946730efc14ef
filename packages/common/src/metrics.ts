/** Counters, gauges and latency histograms of a process, in the Prometheus text format. */

import { Counter, Gauge, Registry } from "prom-client";
import { build, type Histogram } from "hdr-histogram-js";

const LATENCY_QUANTILES = [0.5, 0.9, 0.99, 0.999] as const;
const MICROSECONDS_PER_MS = 1_000;
const HIGHEST_LATENCY_US = 3_600_000_000;

export type Labels = Readonly<Record<string, string>>;

/** Latencies of one kind of operation, stored in microseconds. */
export class LatencyRecorder {
  private readonly histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_LATENCY_US,
    numberOfSignificantValueDigits: 2,
    bitBucketSize: 32,
  });

  record(ms: number): void {
    const value = Math.round(ms * MICROSECONDS_PER_MS);
    this.histogram.recordValue(
      Math.min(HIGHEST_LATENCY_US, Math.max(0, value)),
    );
  }

  get count(): number {
    return this.histogram.totalCount;
  }

  /** @param quantile in [0, 1] @returns milliseconds */
  quantile(quantile: number): number {
    const percentile = quantile * 100;
    return (
      this.histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS
    );
  }
}

/** All metrics of one process; each process creates its own instance. */
export class Metrics {
  private readonly registry = new Registry();
  private readonly counters = new Map<string, Counter>();
  private readonly gauges = new Map<string, Gauge>();
  private readonly latencies = new Map<string, LatencyRecorder>();

  /** Adds to a counter, created at first use; `labels` must have the same names each time. */
  count(name: string, labels: Labels = {}, by = 1): void {
    let counter = this.counters.get(name);
    if (!counter) {
      counter = new Counter({
        name: `rackspan_${name}_total`,
        help: name.replaceAll("_", " "),
        labelNames: Object.keys(labels),
        registers: [this.registry],
      });
      this.counters.set(name, counter);
    }
    counter.inc(labels, by);
  }

  gauge(name: string, value: number, labels: Labels = {}): void {
    let gauge = this.gauges.get(name);
    if (!gauge) {
      gauge = new Gauge({
        name: `rackspan_${name}`,
        help: name.replaceAll("_", " "),
        labelNames: Object.keys(labels),
        registers: [this.registry],
      });
      this.gauges.set(name, gauge);
    }
    gauge.set(labels, value);
  }

  latency(name: string): LatencyRecorder {
    let recorder = this.latencies.get(name);
    if (!recorder) {
      recorder = new LatencyRecorder();
      this.latencies.set(name, recorder);
    }
    return recorder;
  }

  /** Sum over all label sets of a counter; 0 if it has never been incremented. */
  async total(name: string): Promise<number> {
    const counter = this.counters.get(name);
    if (!counter) return 0;
    const { values } = await counter.get();
    return values.reduce((sum, { value }) => sum + value, 0);
  }

  /** All values of a counter with their labels. */
  async values(name: string): Promise<readonly CounterValue[]> {
    const counter = this.counters.get(name);
    if (!counter) return [];
    const { values } = await counter.get();
    return values.map(({ labels, value }) => ({
      labels: labels as Labels,
      value,
    }));
  }

  /** All metrics in the Prometheus text format. */
  async render(): Promise<string> {
    const parts = [await this.registry.metrics()];
    for (const [name, recorder] of this.latencies) {
      parts.push(renderSummary(name, recorder));
    }
    return parts.join("\n");
  }
}

export interface CounterValue {
  readonly labels: Labels;
  readonly value: number;
}

const renderSummary = (name: string, recorder: LatencyRecorder): string => {
  const metric = `rackspan_${name}_ms`;
  const lines = [`# TYPE ${metric} summary`];
  for (const quantile of LATENCY_QUANTILES) {
    const value = recorder.quantile(quantile);
    lines.push(`${metric}{quantile="${quantile}"} ${value}`);
  }
  lines.push(`${metric}_count ${recorder.count}`, "");
  return lines.join("\n");
};
