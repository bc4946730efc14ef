/**
 * Forecasts the periodic swing of one serving image's undisturbed tail latency. The
 * logarithm of the tail is modelled as a level plus one wave. For each candidate period
 * a least squares fit with exponential forgetting is maintained; the period with the
 * least residual is used. The model tests itself: each forecast is compared with the
 * reading that arrives later, and counts as confident only while it predicts clearly
 * better than both the level and the last reading.
 */

import type { Monotonic } from "@rackspan/common";

export const SWING_MODEL = {
  /** Bounds of the periods that are considered, milliseconds. */
  minPeriodMs: 10_000,
  maxPeriodMs: 60_000,
  /**
   * Candidate periods, spaced evenly by logarithm (8 % apart): over the memory of the
   * fit, a wave between two candidates drifts by less than an eighth of its period.
   */
  periods: 24,
  /** Readings of all hosts within this time are averaged, milliseconds; hosts report as often. */
  binMs: 500,
  /** Time constant after which a reading's weight in the fit has fallen to 1/e, milliseconds. */
  memoryMs: 30_000,
  /** A period is considered once readings cover this share of it. */
  minCoveredShare: 0.5,
  /** Weight, in readings, by which each fit is drawn to a wave of height 0. */
  ridge: 0.5,
  /** How far ahead the forecasts are that are compared with readings, milliseconds. */
  testLeadMs: 3_000,
  /** Time constant of the mean squared errors, milliseconds. */
  errorMemoryMs: 6_000,
  /** Number of tested forecasts before any is confident. */
  minTests: 6,
  /**
   * A forecast is confident if its mean squared error is at most this share of that of
   * the better of the two alternatives.
   */
  maxErrorShare: 0.7,
  /** Waves of a lower height count as none; logarithm. */
  minHeight: 0.05,
  /** Readings further apart than this start a new test; milliseconds. */
  maxGapMs: 5_000,
} as const;

/** A wave around a level: level + cosine * cos(angle) + sine * sin(angle). */
export interface Wave {
  readonly periodMs: number;
  readonly level: number;
  readonly cosine: number;
  readonly sine: number;
}

/** Mean errors of the tested forecasts; standard deviations of the logarithm. */
export interface SwingErrors {
  readonly swing: number;
  readonly level: number;
  readonly lastReading: number;
}

/** Normal equations of one candidate period. */
interface Fit {
  readonly omega: number;
  /** Sums of weight times products of 1, cosine and sine: upper triangle. */
  readonly products: number[];
  /** Sums of weight times 1, cosine and sine times the reading. */
  readonly moments: number[];
}

interface PendingTest {
  readonly dueAt: Monotonic;
  readonly swing: number;
  readonly level: number;
  readonly lastReading: number;
}

const TWO_PI = 2 * Math.PI;

const candidatePeriods = (): number[] => {
  const { minPeriodMs, maxPeriodMs, periods } = SWING_MODEL;
  const ratio = maxPeriodMs / minPeriodMs;
  return Array.from(
    { length: periods },
    (_, index) => minPeriodMs * ratio ** (index / (periods - 1)),
  );
};

export class SwingModel {
  private readonly fits: readonly Fit[] = candidatePeriods().map((period) => ({
    omega: TWO_PI / period,
    products: [0, 0, 0, 0, 0, 0],
    moments: [0, 0, 0],
  }));
  /** Sum of weight times the squared reading. */
  private squares = 0;
  private firstAt: Monotonic | undefined;
  private lastFoldedAt: Monotonic = -Infinity;
  private bin = { startedAt: -Infinity, count: 0, timeSum: 0, sum: 0 };
  private wave: Wave | undefined;
  /** Whether the wave is that of a previous leader. */
  private isRestored = false;
  private pending: PendingTest[] = [];
  private tests = 0;
  private readonly squaredErrors = { swing: 0, level: 0, lastReading: 0 };

  /** @param tail logarithm of a tail without the additions of filling tasks */
  learn(at: Monotonic, tail: number): void {
    if (!Number.isFinite(tail)) return;
    if (at - this.bin.startedAt >= SWING_MODEL.binMs) {
      this.foldBin();
      this.bin = { startedAt: at, count: 0, timeSum: 0, sum: 0 };
    }
    this.bin.count += 1;
    this.bin.timeSum += at;
    this.bin.sum += tail;
  }

  /** The wave on which forecasts rely; undefined without confidence. */
  get confidentWave(): Wave | undefined {
    const { minTests, maxErrorShare, minHeight } = SWING_MODEL;
    if (!this.wave || this.tests < minTests) return undefined;
    if (heightOf(this.wave) < minHeight) return undefined;
    const { swing, level, lastReading } = this.squaredErrors;
    const alternative = Math.min(level, lastReading);
    return swing <= maxErrorShare * alternative ? this.wave : undefined;
  }

  /** Undefined before any forecast was tested. */
  get errors(): SwingErrors | undefined {
    if (this.tests === 0) return undefined;
    const { swing, level, lastReading } = this.squaredErrors;
    return {
      swing: Math.sqrt(swing),
      level: Math.sqrt(level),
      lastReading: Math.sqrt(lastReading),
    };
  }

  /** Distance from the level at this time; undefined without confidence. */
  swingAt(at: Monotonic): number | undefined {
    const wave = this.confidentWave;
    return wave && swingAt(wave, at);
  }

  /** Highest distance from the level between two times; undefined without confidence. */
  highestSwing(from: Monotonic, until: Monotonic): number | undefined {
    const wave = this.confidentWave;
    return wave && highestBetween(wave, from, until);
  }

  /**
   * Starts from the wave of a previous leader. It is tested like an own one before any
   * forecast relies on it, but needs no readings of a whole period.
   */
  restore(wave: Wave): void {
    if (this.firstAt !== undefined) return;
    const { minPeriodMs, maxPeriodMs } = SWING_MODEL;
    if (wave.periodMs < minPeriodMs || wave.periodMs > maxPeriodMs) return;
    this.wave = wave;
    this.isRestored = true;
  }

  private foldBin(): void {
    const { count, sum, timeSum } = this.bin;
    if (count === 0) return;
    const at = timeSum / count;
    const tail = sum / count;
    this.handleGap(at - this.lastFoldedAt);
    this.test(at, tail);
    this.fold(at, tail);
    if (!this.keepsRestored(at)) {
      this.isRestored = false;
      this.wave = this.bestWave(at) ?? this.wave;
    }
    if (!this.wave) return;
    const dueAt = at + SWING_MODEL.testLeadMs;
    const { level } = this.wave;
    const swing = level + swingAt(this.wave, dueAt);
    this.pending.push({ dueAt, swing, level, lastReading: tail });
  }

  /**
   * After a gap in the readings the load may have changed: forecasts are tested anew, and
   * readings that have lost their weight no longer count as covered time.
   */
  private handleGap(gapMs: number): void {
    if (gapMs <= SWING_MODEL.maxGapMs) return;
    this.pending = [];
    this.tests = 0;
    if (gapMs > SWING_MODEL.memoryMs) this.firstAt = undefined;
  }

  /**
   * Whether a restored wave is still used: a fit of less than its period would be worse,
   * unless the tests show that the wave does not fit any more.
   */
  private keepsRestored(at: Monotonic): boolean {
    if (!this.isRestored || !this.wave) return false;
    if (at - (this.firstAt ?? at) >= this.wave.periodMs) return false;
    const { swing, level } = this.squaredErrors;
    return this.tests < SWING_MODEL.minTests || swing <= level;
  }

  /** Compares the forecasts that are due with the reading. */
  private test(at: Monotonic, tail: number): void {
    const { errorMemoryMs, binMs } = SWING_MODEL;
    while (this.pending[0] && this.pending[0].dueAt <= at) {
      const due = this.pending.shift() as PendingTest;
      this.tests += 1;
      const share = Math.max(binMs / errorMemoryMs, 1 / this.tests);
      const { squaredErrors } = this;
      for (const key of ["swing", "level", "lastReading"] as const) {
        const squared = (tail - due[key]) ** 2;
        squaredErrors[key] += share * (squared - squaredErrors[key]);
      }
    }
  }

  private fold(at: Monotonic, tail: number): void {
    this.firstAt ??= at;
    const elapsed = Math.max(0, at - this.lastFoldedAt);
    const kept = Math.exp(-elapsed / SWING_MODEL.memoryMs);
    this.lastFoldedAt = at;
    this.squares = this.squares * kept + tail * tail;
    for (const { omega, products, moments } of this.fits) {
      const row = [1, Math.cos(omega * at), Math.sin(omega * at)];
      let position = 0;
      for (let i = 0; i < row.length; i += 1) {
        const own = row[i] as number;
        moments[i] = (moments[i] as number) * kept + own * tail;
        for (let j = i; j < row.length; j += 1) {
          const product = own * (row[j] as number);
          products[position] = (products[position] as number) * kept + product;
          position += 1;
        }
      }
    }
  }

  /** The wave of the covered period with the least residual. */
  private bestWave(at: Monotonic): Wave | undefined {
    const coveredMs = at - (this.firstAt ?? at);
    let best: Wave | undefined;
    let leastResidual = Infinity;
    for (const fit of this.fits) {
      const periodMs = TWO_PI / fit.omega;
      if (coveredMs < SWING_MODEL.minCoveredShare * periodMs) break;
      const solution = solve(fit);
      if (!solution) continue;
      const [level, cosine, sine] = solution;
      const explained =
        level * (fit.moments[0] as number) +
        cosine * (fit.moments[1] as number) +
        sine * (fit.moments[2] as number);
      const residual = this.squares - explained;
      if (residual >= leastResidual) continue;
      leastResidual = residual;
      best = { periodMs, level, cosine, sine };
    }
    return best;
  }
}

const heightOf = ({ cosine, sine }: Wave): number => Math.hypot(cosine, sine);

/** Distance of the wave from its level at this time. */
export const swingAt = (
  { periodMs, cosine, sine }: Wave,
  at: Monotonic,
): number => {
  const angle = (TWO_PI * at) / periodMs;
  return cosine * Math.cos(angle) + sine * Math.sin(angle);
};

/** The highest distance of the wave from its level between two times. */
const highestBetween = (
  wave: Wave,
  from: Monotonic,
  until: Monotonic,
): number => {
  const { periodMs, cosine, sine } = wave;
  const crestAt = (Math.atan2(sine, cosine) / TWO_PI) * periodMs;
  const nextCrest = crestAt + Math.ceil((from - crestAt) / periodMs) * periodMs;
  if (nextCrest <= until) return heightOf(wave);
  return Math.max(swingAt(wave, from), swingAt(wave, until));
};

/** The same wave on a clock that shows `offsetMs` more. */
export const shiftWave = (wave: Wave, offsetMs: number): Wave => {
  const angle = (TWO_PI * offsetMs) / wave.periodMs;
  const { cosine, sine } = wave;
  return {
    ...wave,
    cosine: cosine * Math.cos(angle) - sine * Math.sin(angle),
    sine: cosine * Math.sin(angle) + sine * Math.cos(angle),
  };
};

const MIN_DETERMINANT = 1e-9;

/** Solves the normal equations; undefined while they are singular. */
const solve = ({
  products,
  moments,
}: Fit): [number, number, number] | undefined => {
  const [n, c, s, cc, cs, ss] = products as [
    number,
    number,
    number,
    number,
    number,
    number,
  ];
  const [m0, m1, m2] = moments as [number, number, number];
  const a = cc + SWING_MODEL.ridge;
  const b = ss + SWING_MODEL.ridge;
  const det =
    n * (a * b - cs * cs) - c * (c * b - cs * s) + s * (c * cs - a * s);
  if (Math.abs(det) < MIN_DETERMINANT) return undefined;
  const level =
    m0 * (a * b - cs * cs) - c * (m1 * b - cs * m2) + s * (m1 * cs - a * m2);
  const cosine =
    n * (m1 * b - cs * m2) - m0 * (c * b - cs * s) + s * (c * m2 - m1 * s);
  const sine =
    n * (a * m2 - m1 * cs) - c * (c * m2 - m1 * s) + m0 * (c * cs - a * s);
  return [level / det, cosine / det, sine / det];
};
