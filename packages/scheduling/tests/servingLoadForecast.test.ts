import { test } from "node:test";
import { expect } from "earl";
import { brand, type HostId } from "@rackspan/common";
import type { ImageName, LearnedRecord } from "@rackspan/state";
import { EngineHarness, taskId, type FakeHost } from "./engineHarness.js";

const TARGET_MS = 100;
const PERIOD_MS = 20_000;
const FILLER = {
  filling: true,
  image: brand<ImageName>("render"),
  estimateMs: 6_000,
  demand: { milliCores: 2_200, memoryMiB: 10, accelerators: 0 },
};

/** Tail of the image that rises first; the other one is half a period behind. */
const tailAt = (at: number, isRising: boolean): number => {
  const swing = 0.35 * Math.sin((2 * Math.PI * at) / PERIOD_MS);
  return TARGET_MS * 0.42 * Math.exp(isRising ? swing : -swing);
};

/** Two hosts that serve one image each, with loads in opposite phase. */
const serveTwoImages = async (
  options: ConstructorParameters<typeof EngineHarness>[0],
) => {
  const harness = new EngineHarness(options);
  const rising = await harness.addHost("h1");
  const falling = await harness.addHost("h2");
  for (const image of ["one", "two"]) {
    // A host has room for one of them.
    const demand = { milliCores: 20_000, memoryMiB: 10, accelerators: 0 };
    const server = { lasting: true, tailTargetMs: TARGET_MS, demand };
    harness.submit(image, [{ ...server, image: brand<ImageName>(image) }]);
    await harness.run(50);
  }
  await harness.run(300);
  const readUntil = async (until: number) => {
    while (harness.clock.monotonic() < until) {
      for (const host of [rising, falling])
        setTail(host, tailAt(harness.clock.monotonic(), host === rising));
      await harness.run(200);
    }
  };
  return { harness, rising, falling, readUntil };
};

const setTail = (host: FakeHost, tailMs: number): void => {
  const [serving] = host.runningTasks;
  if (!serving) throw new Error("no serving task runs");
  host.setProgress(serving, 100);
  host.setReading(serving, tailMs);
};

const hostOfFiller = async (isForecast: boolean, untilMs: number) => {
  const policy = { forecastsServingLoad: isForecast };
  const { harness, rising, falling, readUntil } = await serveTwoImages({
    policy,
  });
  await readUntil(untilMs);
  harness.submit("f", [FILLER]);
  await harness.run(100);
  const isAt = (host: FakeHost) => host.isRunning(taskId("f.0.0.0"));
  return isAt(rising) ? "rising" : isAt(falling) ? "falling" : "none";
};

/** When both loads are at their mean. */
const CROSSING_MS = 4 * PERIOD_MS;

test("a filling task does not go to a host whose serving load is forecast to rise past the limit", async () => {
  // By the last readings both hosts have slack, the one with the rising load slightly more.
  expect(await hostOfFiller(false, CROSSING_MS - 600)).toEqual("rising");
  expect(await hostOfFiller(true, CROSSING_MS - 600)).toEqual("falling");
});

test("without a confident forecast the last readings decide", async () => {
  expect(await hostOfFiller(true, 2_000)).toEqual(
    await hostOfFiller(false, 2_000),
  );
});

test("a filling task that must be placed goes where the limit is exceeded the least", async () => {
  for (const [policy, expected] of [
    [{ forecastsServingLoad: true }, "h2"],
    [{}, "h1"],
  ] as const) {
    const { harness, rising, falling } = await serveTwoImages({ policy });
    setTail(rising, 0.95 * TARGET_MS);
    setTail(falling, 0.6 * TARGET_MS);
    await harness.run(600);
    // Nothing of the job runs for so long that one task must be placed.
    harness.submit("f", [FILLER]);
    await harness.run(2_500);
    const host = harness.hosts.find((one) => one.isRunning(taskId("f.0.0.0")));
    expect(host?.host).toEqual(brand<HostId>(expected));
  }
});

test("the next leader uses the swing that the last one learned", async () => {
  const policy = { forecastsServingLoad: true };
  const { harness, readUntil } = await serveTwoImages({ policy });
  await readUntil(CROSSING_MS);
  const records = harness.learned.slice(-2);
  harness.engine.stop();
  const { clock } = harness;
  const usedAfter = async (restored: readonly LearnedRecord[]) => {
    const next = await serveTwoImages({ policy, clock });
    next.harness.engine.restoreLearned(restored);
    await next.readUntil(clock.monotonic() + 10_500);
    const metrics = await next.harness.metrics.render();
    next.harness.engine.stop();
    return /serving_forecasts\{state="used"\} (\d)/.exec(metrics)?.[1];
  };
  expect(await usedAfter(records)).toEqual("2");
  expect(await usedAfter([])).toEqual("0");
});

test("without the flag nothing of the swing is recorded", async () => {
  const { harness, readUntil } = await serveTwoImages({});
  await readUntil(CROSSING_MS);
  const withSwing = harness.learned.filter(
    (record) => record.kind === "tail" && record.swing !== undefined,
  );
  expect(withSwing).toEqual([]);
  expect(await harness.metrics.render()).not.toMatchRegex(/serving_forecast/);
});

test("operators see the errors of the forecasts", async () => {
  const { harness, readUntil } = await serveTwoImages({
    policy: { forecastsServingLoad: true },
  });
  await readUntil(CROSSING_MS);
  const metrics = await harness.metrics.render();
  expect(metrics).toMatchRegex(/serving_forecasts\{state="used"\} 2/);
  expect(metrics).toMatchRegex(
    /serving_forecast_error\{by="lastReading"\} 0\.\d/,
  );
});
