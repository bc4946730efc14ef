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

const createEndpoint = (
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

const pickShareOf = (
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

const createEndpoints = (count: number): EndpointView[] =>
  Array.from({ length: count }, (_, index) => createEndpoint(`other-${index}`));

test("every picker uses all endpoints about equally often when they are equal", () => {
  for (const name of endpointPickers.names()) {
    const share = pickShareOf(name, "other-0", createEndpoints(4));
    expect(share > 0.15 && share < 0.35).toEqual(true);
  }
});

test("the pooled picker rarely picks a slow endpoint or one whose slots are all in use", () => {
  const slow = createEndpoint("slow", { latencyMs: 30 });
  const full = createEndpoint("full", { busySlots: 8, latencyMs: 0.1 });
  expect(
    pickShareOf("pooled", "slow", [slow, ...createEndpoints(5)]) < 0.02,
  ).toEqual(true);
  expect(
    pickShareOf("pooled", "full", [full, ...createEndpoints(5)]) < 0.02,
  ).toEqual(true);
});

test("the pooled picker prefers another zone only if that saves more than the cross-zone penalty", () => {
  const remote = createEndpoint("away", {
    availabilityZone: brand<AvailabilityZone>("away"),
  });
  expect(
    pickShareOf("pooled", "away", [remote, ...createEndpoints(5)]) < 0.02,
  ).toEqual(true);
  const faster = { ...remote, latencyMs: 1 };
  expect(
    pickShareOf("pooled", "away", [faster, ...createEndpoints(5)]) > 0.35,
  ).toEqual(true);
});

const createEjector = (clock: ManualClock) =>
  new OutlierEjector({
    clock,
    failuresToEject: 3,
    ejectMs: 1_000,
    maxEjectMs: 4_000,
    maxEjectedShare: 0.5,
  });

const reportFailures = (
  ejector: OutlierEjector,
  host: string,
  times: number,
): void => {
  for (let i = 0; i < times; i += 1) {
    ejector.report({
      host: brand<HostId>(host),
      ok: false,
      latencyMs: 1,
      at: 0,
    });
  }
};

test("an endpoint that keeps failing is ejected for longer each time, and one success resets it", async () => {
  const clock = new ManualClock();
  const ejector = createEjector(clock);
  const candidates = createEndpoints(4);
  reportFailures(ejector, "other-0", 2);
  expect(ejector.admit(candidates).length).toEqual(4);
  reportFailures(ejector, "other-0", 1);
  expect(ejector.admit(candidates).length).toEqual(3);
  await clock.advance(1_001);
  expect(ejector.admit(candidates).length).toEqual(4);
  reportFailures(ejector, "other-0", 1);
  await clock.advance(1_001);
  expect(ejector.admit(candidates).length).toEqual(3);
  await clock.advance(1_000);
  ejector.report({
    host: brand<HostId>("other-0"),
    ok: true,
    latencyMs: 1,
    at: 0,
  });
  reportFailures(ejector, "other-0", 2);
  expect(ejector.admit(candidates).length).toEqual(4);
});

test("no endpoint is excluded when too many are ejected", () => {
  const ejector = createEjector(new ManualClock());
  const candidates = createEndpoints(4);
  for (const { host } of candidates) reportFailures(ejector, host, 3);
  expect(ejector.admit(candidates)).toEqual(candidates);
});

test("retries stay within their share of requests even if every attempt fails", () => {
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

test("a deadline queue limits concurrency and length, and drops requests whose deadline has passed", async () => {
  const clock = new ManualClock();
  const queue = new DeadlineQueue({ clock, concurrency: 1, maxQueued: 2 });
  const order: string[] = [];
  let release: () => void = () => undefined;
  const pendingWork = new Promise<void>((resolve) => (release = resolve));
  const first = queue.run(1_000, () => pendingWork);
  const expired = queue.run(50, async () => void order.push("late"));
  const second = queue.run(1_000, async () => void order.push("second"));
  expect(await queue.run(1_000, async () => void order.push("over"))).toEqual(
    "full",
  );
  await clock.advance(51);
  expect(await expired).toEqual("late");
  expect(queue.queued).toEqual(1);
  release();
  expect([await first, await second]).toEqual(["entered", "entered"]);
  expect(order).toEqual(["second"]);
});

test("the subsets of all entries cover every endpoint, regardless of the order of the members", () => {
  const names = Array.from({ length: 1_400 }, (_, index) => `host-${index}`);
  const subsetFor = (entryIndex: number, members = names) =>
    chooseSubset({
      members,
      nameOf: (name) => name,
      entryIndex,
      entryCount: 6,
      minSize: 32,
    });
  const covered = new Map<string, number>();
  for (let entryIndex = 0; entryIndex < 6; entryIndex += 1) {
    for (const name of subsetFor(entryIndex))
      covered.set(name, (covered.get(name) ?? 0) + 1);
  }
  expect(covered.size).toEqual(1_400);
  expect(Math.min(...covered.values()) >= 2).toEqual(true);
  expect(subsetFor(3, [...names].reverse())).toEqual(subsetFor(3));
  expect(subsetFor(0, names.slice(0, 20)).length).toEqual(20);
});
