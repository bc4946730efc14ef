/**
 * Reports at an interval how far off the forecasts of serving loads are, as gauges and
 * as one log line, so that an operator sees whether placement may rely on them.
 */

import type { Clock, Logger, Metrics, Timer } from "@rackspan/common";
import type {
  ServingLoadForecaster,
  ServingLoadStatus,
  SwingErrors,
} from "@rackspan/jobs";

const REPORT = {
  /** Interval of the log line and the gauges, milliseconds. */
  intervalMs: 5_000,
} as const;

export interface ServingForecastReporterOptions {
  readonly servingLoads: ServingLoadForecaster;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

export class ServingForecastReporter {
  private timer: Timer | undefined;

  constructor(private readonly options: ServingForecastReporterOptions) {}

  start(): void {
    this.timer = this.options.clock.after(REPORT.intervalMs, () => {
      this.report();
      this.start();
    });
  }

  stop(): void {
    this.timer?.cancel();
  }

  private report(): void {
    const { servingLoads, logger, metrics } = this.options;
    const statuses = servingLoads.status();
    if (statuses.length === 0) return;
    const confident = statuses.filter(({ wave }) => wave !== undefined);
    const errors = {
      forecast: meanError(statuses, "swing"),
      level: meanError(statuses, "level"),
      lastReading: meanError(statuses, "lastReading"),
    };
    metrics.gauge("serving_forecasts", confident.length, { state: "used" });
    metrics.gauge("serving_forecasts", statuses.length - confident.length, {
      state: "unused",
    });
    for (const [by, error] of Object.entries(errors))
      metrics.gauge("serving_forecast_error", error, { by });
    const worst = statuses.reduce((a, b) =>
      b.errors.swing > a.errors.swing ? b : a,
    );
    logger.info("serving.forecast", {
      images: statuses.length,
      confident: confident.length,
      error: errors.forecast.toFixed(3),
      levelError: errors.level.toFixed(3),
      lastReadingError: errors.lastReading.toFixed(3),
      worstImage: worst.serving,
      worstError: worst.errors.swing.toFixed(3),
      periodS: meanPeriodS(confident),
    });
  }
}

const meanError = (
  statuses: readonly ServingLoadStatus[],
  by: keyof SwingErrors,
): number =>
  statuses.reduce((sum, { errors }) => sum + errors[by], 0) / statuses.length;

const meanPeriodS = (
  confident: readonly ServingLoadStatus[],
): string | undefined => {
  if (confident.length === 0) return undefined;
  const sum = confident.reduce((ms, { wave }) => ms + (wave?.periodMs ?? 0), 0);
  return (sum / confident.length / 1_000).toFixed(1);
};
