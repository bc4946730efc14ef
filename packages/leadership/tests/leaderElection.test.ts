import { test } from "node:test";
import { expect } from "earl";
import {
  brand,
  createLogger,
  ManualClock,
  silentLogger,
  sleep,
  type EntryId,
  type Epoch,
  type Incarnation,
  type Logger,
} from "@rackspan/common";
import { LeaderElection } from "@rackspan/leadership";
import {
  StoreAnswerLostError,
  StoreRefusedError,
  type GroupMembership,
  type TopicName,
} from "@rackspan/ports";
import { MemoryStore } from "@rackspan/standins";

const TTL_MS = 2_500;

const setUp = () => {
  const clock = new ManualClock();
  const store = new MemoryStore(clock);
  const terms: string[] = [];
  const entry = (
    name: string,
    incarnation = "1",
    next = () => 0.2,
    membership: GroupMembership = store,
    standsBack = false,
    logger: Logger = silentLogger,
  ) => {
    const election = new LeaderElection({
      membership,
      topic: brand<TopicName>("leadership"),
      self: {
        entry: brand<EntryId>(name),
        incarnation: brand<Incarnation>(incarnation),
        address: `${name}:1`,
      },
      ttlMs: TTL_MS,
      clock,
      random: { next },
      isLowPriority: standsBack,
      logger,
      onAcquired: (epoch: Epoch) => terms.push(`${name} leads ${epoch}`),
      onLost: (reason) => terms.push(`${name} lost: ${reason}`),
    });
    election.start();
    return election;
  };
  return { clock, store, terms, entry };
};

test("one entry leads, and another takes over at its next poll after a planned stop", async () => {
  const { clock, terms, entry } = setUp();
  const a = entry("a");
  await clock.advance(100);
  const b = entry("b");
  await clock.advance(2_000);
  expect([a.isLeader, b.isLeader]).toEqual([true, false]);
  const stopped = a.stop();
  await clock.advance(700);
  await stopped;
  expect([a.isLeader, b.isLeader]).toEqual([false, true]);
  expect(terms[1]).toEqual("a lost: planned-stop");
});

test("a leader that cannot reach the store stops deciding before another can take over", async () => {
  const { clock, store, entry } = setUp();
  const a = entry("a");
  await clock.advance(700);
  store.fault = "silent";
  await clock.advance(TTL_MS - 600);
  expect(a.isLeader).toEqual(true);
  await clock.advance(600);
  expect(a.isLeader).toEqual(false);
});

test("expired leadership resumes under the same epoch if the group did not change", async () => {
  const { clock, store, terms, entry } = setUp();
  store.suspendsExpiry = true;
  const a = entry("a");
  await clock.advance(700);
  store.fault = "refuses";
  await clock.advance(TTL_MS + 200);
  expect(a.isLeader).toEqual(false);
  store.fault = "none";
  await clock.advance(300);
  expect(a.isLeader).toEqual(true);
  expect(terms).toEqual(["a leads 1"]);
});

test("leadership that expired in the store starts again under a higher epoch", async () => {
  const { clock, store, terms, entry } = setUp();
  const a = entry("a");
  await clock.advance(700);
  store.fault = "refuses";
  await clock.advance(TTL_MS + 200);
  store.fault = "none";
  await clock.advance(300);
  expect(a.isLeader).toEqual(true);
  expect(terms).toEqual(["a leads 1", "a lost: group-changed", "a leads 3"]);
});

test("an owner that the store removed in between starts a new term", async () => {
  const { clock, store, terms, entry } = setUp();
  const a = entry("a");
  await clock.advance(700);
  store.revoke();
  await clock.advance(1_500);
  expect(a.isLeader).toEqual(true);
  expect(terms.at(-1)).toEqual("a leads 3");
});

test("a restarted process ends the membership of its previous incarnation and leads at once", async () => {
  const { clock, entry, terms } = setUp();
  const previous = entry("a", "1");
  await clock.advance(700);
  void previous;
  const next = entry("a", "2");
  await clock.advance(300);
  expect(next.isLeader).toEqual(true);
  expect(terms.includes("a leads 3")).toEqual(true);
});

test("entries that find no owner at the same time do not all join", async () => {
  const { clock, store, terms, entry } = setUp();
  const draws = [0.1, 0.9, 0.5];
  for (const name of ["a", "b", "c"]) {
    entry(name, "1", () => draws.shift() ?? 0.5);
  }
  await clock.advance(2_000);
  expect(terms).toEqual(["a leads 1"]);
  expect(await store.owner()).toEqual("a|1.0|a:1");
});

test("a leader that the store refused for a while does not rejoin while its successor leads", async () => {
  const { clock, store, terms, entry } = setUp();
  let isRefused = false;
  let joins = 0;
  const refuseWhileIsolated = (): void => {
    if (isRefused) throw new StoreRefusedError("refused");
  };
  const membership: GroupMembership = {
    join: async (req) => {
      refuseWhileIsolated();
      joins += 1;
      return store.join(req);
    },
    leave: async (group, member) => {
      refuseWhileIsolated();
      return store.leave(group, member);
    },
    owner: async () => {
      refuseWhileIsolated();
      return store.owner();
    },
  };
  entry("a", "1", undefined, membership);
  await clock.advance(700);
  entry("b");
  isRefused = true;
  await clock.advance(2 * TTL_MS);
  const joinsBefore = joins;
  isRefused = false;
  await clock.advance(2_000);
  expect(joins).toEqual(joinsBefore);
  expect(terms).toEqual(["a leads 1", "b leads 3", "a lost: replaced"]);
});

/** A membership that holds back its responses to joins until the test releases them. */
const createDelayedMembership = (store: MemoryStore) => {
  let held: (() => void)[] | undefined;
  const membership: GroupMembership = {
    join: async (req) => {
      const answer = await store.join(req);
      const waiting = held;
      if (waiting) await new Promise<void>((go) => waiting.push(go));
      return answer;
    },
    leave: (group, member) => store.leave(group, member),
    owner: () => store.owner(),
  };
  return {
    membership,
    hold: () => {
      held = [];
    },
    release: () => {
      const waiting = held ?? [];
      held = undefined;
      for (const go of waiting) go();
    },
  };
};

// The response belongs to a membership that has ended; its epoch must not be led again.
for (const way of ["stops", "steps down"] as const) {
  test(`a renewal that is answered after the leader ${way} does not restore leadership`, async () => {
    const { clock, store, terms, entry } = setUp();
    const { membership, hold, release } = createDelayedMembership(store);
    const a = entry("a", "1", undefined, membership);
    await clock.advance(700);
    expect(a.isLeader).toEqual(true);
    hold();
    await clock.advance(600);
    const over = way === "stops" ? a.stop() : a.stepDown("term failed");
    await clock.advance(10);
    release();
    await clock.advance(10);
    await over;
    expect(a.isLeader).toEqual(false);
    expect(terms.filter((term) => term === "a leads 1")).toEqual(["a leads 1"]);
    await a.stop();
  });
}

/** Stops an entry while its second poll is in flight, and counts its joins. */
const stopDuringPoll = async ({
  clock,
  store,
  entry,
}: Pick<ReturnType<typeof setUp>, "clock" | "store" | "entry">): Promise<{
  joins: number;
}> => {
  let answerOwner = (): void => undefined;
  let polls = 0;
  let joins = 0;
  const membership: GroupMembership = {
    join: (req) => {
      joins += 1;
      return store.join(req);
    },
    leave: (group, member) => store.leave(group, member),
    owner: async () => {
      polls += 1;
      if (polls > 1) await new Promise<void>((go) => (answerOwner = go));
      return store.owner();
    },
  };
  const a = entry("a", "1", undefined, membership);
  await clock.advance(700);
  const stopped = a.stop();
  answerOwner();
  await clock.advance(10);
  await stopped;
  return { joins };
};

// A step that was started before the stop must not continue after it.
test("an entry that is stopped while it polls for the owner does not become leader", async () => {
  const { clock, store, terms, entry } = setUp();
  await stopDuringPoll({ clock, store, entry });
  expect(terms).toEqual([]);
});

test("an entry that is stopped while it polls for the owner sends no join", async () => {
  const { clock, store, entry } = setUp();
  const { joins } = await stopDuringPoll({ clock, store, entry });
  expect(joins).toEqual(0);
});

test("a low-priority entry leads only if no other entry does", async () => {
  const { clock, store, entry } = setUp();
  const weak = entry("weak", "1", () => 0, store, true);
  // The strong entry polls later than the weak one and draws the longest delay.
  await clock.advance(240);
  const strong = entry("strong", "1", () => 0.999);
  await clock.advance(1_000);
  expect([weak.isLeader, strong.isLeader]).toEqual([false, true]);
  await strong.stop();
  await clock.advance(1_500);
  expect(weak.isLeader).toEqual(true);
});

// The monotonic clock stops while the machine is suspended, so it alone would not show
// that the lease has expired.
test("a leader whose machine was suspended past its lease decides nothing before the store confirms it again", async () => {
  const { clock, entry } = setUp();
  const a = entry("a");
  await clock.advance(700);
  expect(a.isLeader).toEqual(true);
  clock.suspend(TTL_MS);
  expect(a.isLeader).toEqual(false);
  await clock.advance(700);
  expect(a.isLeader).toEqual(true);
});

test("a leader whose machine was suspended for less than its lease keeps leading", async () => {
  const { clock, entry } = setUp();
  const a = entry("a");
  await clock.advance(700);
  clock.suspend(TTL_MS / 2);
  expect(a.isLeader).toEqual(true);
});

// Tells a leader that was late from one that is gone.
test("a change of leader is logged with the previous leader and what was left of its lease", async () => {
  const { clock, store, entry } = setUp();
  const lines: string[] = [];
  const logger = createLogger({
    level: "info",
    write: (line) => void lines.push(line),
  });
  const a = entry("a", "1", () => 0.2, store, false, logger);
  await clock.advance(700);
  entry("b", "1", () => 0.2, store, false, logger);
  await clock.advance(1_000);
  const stopped = a.stop();
  await clock.advance(1_000);
  await stopped;
  const changes = lines.filter((line) => line.includes("event=leader."));
  expect(changes.length).toEqual(3);
  const [, lost = "", acquired = ""] = changes;
  expect(lost).toMatchRegex(/planned-stop leaseLeftMs=[12]\d{3}$/);
  expect(acquired).toMatchRegex(/previous="a\|.*" previousSeenMs=\d+$/);
});

// Entries that start together used to draw the same delay: they all joined at once, and
// each further join moved leadership to another of them.
test("entries that start together and find no leader join at different times", async () => {
  const { clock, store } = setUp();
  const joinedAt = new Map<string, number>();
  for (let number = 0; number < 12; number += 1) {
    const name = `e${number}`;
    const membership: GroupMembership = {
      owner: async () => undefined,
      leave: (...args) => store.leave(...args),
      join: (req) => {
        if (!joinedAt.has(name)) joinedAt.set(name, clock.monotonic());
        return store.join(req);
      },
    };
    const election = new LeaderElection({
      membership,
      topic: brand<TopicName>("leadership"),
      self: {
        entry: brand<EntryId>(name),
        incarnation: brand<Incarnation>("1"),
        address: `${name}:1`,
      },
      ttlMs: TTL_MS,
      clock,
      isLowPriority: false,
      logger: silentLogger,
      onAcquired: () => undefined,
      onLost: () => undefined,
    });
    election.start();
  }
  await clock.advance(1_000);
  const times = [...joinedAt.values()];
  expect(times.length).toEqual(12);
  // With independent draws, one in some million runs has a smaller spread.
  expect(Math.max(...times) - Math.min(...times)).toBeGreaterThan(20);
});

// Each join was given up and sent again before its answer came, so that nobody led.
for (const answerMs of [650, 1_000]) {
  test(`an entry leads although the store takes ${answerMs} ms for each join`, async () => {
    const { clock, store, entry } = setUp();
    const membership: GroupMembership = {
      owner: () => store.owner(),
      leave: (...args) => store.leave(...args),
      join: async (req) => {
        const response = await store.join(req);
        await sleep(clock, Math.min(answerMs, req.timeoutMs));
        if (answerMs > req.timeoutMs)
          throw new StoreAnswerLostError("no answer in time");
        return response;
      },
    };
    const a = entry("a", "1", undefined, membership);
    await clock.advance(6_000);
    let ledMs = 0;
    for (let ms = 0; ms < 10_000; ms += 50) {
      await clock.advance(50);
      if (a.isLeader) ledMs += 50;
    }
    expect(ledMs).toEqual(10_000);
  });
}
