/** Registry of benchmarks by name. */

export type Benchmark = (args: readonly string[]) => Promise<void>;

export const benchmarks = new Map<string, Benchmark>();

export const registerBenchmark = (name: string, run: Benchmark): void => {
  benchmarks.set(name, run);
};
