import { test } from "node:test";
import { expect } from "earl";
import {
  brand,
  ManualClock,
  SeededRandom,
  type AvailabilityZone,
  type HostId,
  type Incarnation,
} from "@rackspan/common";
import {
  chooseSubset,
  DeadlineQueue,
  OutlierEjector,
  endpointPickers,
  RetryBudget,
  type EndpointView,
} from "@rackspan/routing";

const OWN_ZONE = brand<AvailabilityZone>("own");

const endpoint = (
  host: string,
  changes: Partial<EndpointView> = {},
): EndpointView => ({
  host: brand<HostId>(host),
  incarnation: brand<Incarnation>("run"),
  address: { host: "127.0.0.1", port: 1 },
  availabilityZone: OWN_ZONE,
  slots: 8,
  inFlight: 0,
  busySlots: 0,
  busySlotsReportedAt: 0,
  latencyMs: 5,
  ...changes,
});

const shareOf = (
  picker: string,
  host: string,
  candidates: readonly EndpointView[],
): number => {
  const chosen = endpointPickers.create(picker, {
    random: new SeededRandom(3),
    availabilityZone: OWN_ZONE,
  });
  const picks = Array.from(
    { length: 2_000 },
    () => chosen.pick(candidates).host,
  );
  return picks.filter((name) => name === host).length / picks.length;
};

const others = (count: number): EndpointView[] =>
  Array.from({ length: count }, (_, index) => endpoint(`other-${index}`));

test("every picker uses every endpoint when all are alike", () => {
  for (const name of endpointPickers.names()) {
    const share = shareOf(name, "other-0", others(4));
    expect(share > 0.15 && share < 0.35).toEqual(true);
  }
});

test("the pooled picker seldom takes a slow endpoint, and hardly ever a full one", () => {
  const slow = endpoint("slow", { latencyMs: 30 });
  const full = endpoint("full", { busySlots: 8, latencyMs: 0.1 });
  expect(shareOf("pooled", "slow", [slow, ...others(5)]) < 0.02).toEqual(true);
  expect(shareOf("pooled", "full", [full, ...others(5)]) < 0.02).toEqual(true);
});

test("the pooled picker leaves its zone only when that saves more than the way costs", () => {
  const away = endpoint("away", {
    availabilityZone: brand<AvailabilityZone>("away"),
  });
  expect(shareOf("pooled", "away", [away, ...others(5)]) < 0.02).toEqual(true);
  const faster = { ...away, latencyMs: 1 };
  expect(shareOf("pooled", "away", [faster, ...others(5)]) > 0.35).toEqual(
    true,
  );
});

const createEjector = (clock: ManualClock) =>
  new OutlierEjector({
    clock,
    failuresToEject: 3,
    ejectMs: 1_000,
    maxEjectMs: 4_000,
    maxEjectedShare: 0.5,
  });

const fail = (ejector: OutlierEjector, host: string, times: number): void => {
  for (let i = 0; i < times; i += 1) {
    ejector.report({
      host: brand<HostId>(host),
      ok: false,
      latencyMs: 1,
      at: 0,
    });
  }
};

test("an endpoint that fails everything is left out, for longer each time, and one success forgives", async () => {
  const clock = new ManualClock();
  const ejector = createEjector(clock);
  const candidates = others(4);
  fail(ejector, "other-0", 2);
  expect(ejector.admit(candidates).length).toEqual(4);
  fail(ejector, "other-0", 1);
  expect(ejector.admit(candidates).length).toEqual(3);
  await clock.advance(1_001);
  expect(ejector.admit(candidates).length).toEqual(4);
  fail(ejector, "other-0", 1);
  await clock.advance(1_001);
  expect(ejector.admit(candidates).length).toEqual(3);
  await clock.advance(1_000);
  ejector.report({
    host: brand<HostId>("other-0"),
    ok: true,
    latencyMs: 1,
    at: 0,
  });
  fail(ejector, "other-0", 2);
  expect(ejector.admit(candidates).length).toEqual(4);
});

test("when too many would be left out, none is", () => {
  const ejector = createEjector(new ManualClock());
  const candidates = others(4);
  for (const { host } of candidates) fail(ejector, host, 3);
  expect(ejector.admit(candidates)).toEqual(candidates);
});

test("retries stay within their share of requests however much fails", () => {
  const budget = new RetryBudget({ ratio: 0.1, burst: 5 });
  let retries = 0;
  for (let request = 0; request < 1_000; request += 1) {
    budget.deposit();
    if (budget.tryWithdraw()) retries += 1;
    if (budget.tryWithdraw()) retries += 1;
  }
  expect(retries <= 105).toEqual(true);
  expect(retries >= 95).toEqual(true);
});

test("a queue runs in order within its width, refuses past its length, and drops what is late", async () => {
  const clock = new ManualClock();
  const queue = new DeadlineQueue({ clock, concurrency: 1, maxQueued: 2 });
  const order: string[] = [];
  let release: () => void = () => undefined;
  const held = new Promise<void>((resolve) => (release = resolve));
  const first = queue.run(1_000, () => held);
  const late = queue.run(50, async () => void order.push("late"));
  const second = queue.run(1_000, async () => void order.push("second"));
  expect(await queue.run(1_000, async () => void order.push("over"))).toEqual(
    "full",
  );
  await clock.advance(51);
  expect(await late).toEqual("late");
  expect(queue.queued).toEqual(1);
  release();
  expect([await first, await second]).toEqual(["entered", "entered"]);
  expect(order).toEqual(["second"]);
});

test("the subsets of all entries cover every endpoint, and do not depend on the order", () => {
  const names = Array.from({ length: 1_400 }, (_, index) => `host-${index}`);
  const subsetOf = (place: number, members = names) =>
    chooseSubset({
      members,
      nameOf: (name) => name,
      entryIndex: place,
      entryCount: 6,
      minSize: 32,
    });
  const covered = new Map<string, number>();
  for (let place = 0; place < 6; place += 1) {
    for (const name of subsetOf(place))
      covered.set(name, (covered.get(name) ?? 0) + 1);
  }
  expect(covered.size).toEqual(1_400);
  expect(Math.min(...covered.values()) >= 2).toEqual(true);
  expect(subsetOf(3, [...names].reverse())).toEqual(subsetOf(3));
  expect(subsetOf(0, names.slice(0, 20)).length).toEqual(20);
});
