import { test } from "node:test";
import { expect } from "earl";
import type { WorkerInstance } from "@rackspan/common";
import {
  PermitsUnavailableError,
  type PermitResponse,
  type PermitRequest,
  type PermitService,
} from "@rackspan/ports";
import { EngineHarness, taskId } from "./engineHarness.js";

const VALID_MS = 1_000;
const RULE = { decideMs: 20, eachMs: 1, validMs: VALID_MS };

/** Grants permits for the workers whose ids begin with one of the given hosts. */
class FakePermits implements PermitService {
  readonly requests: PermitRequest[] = [];
  failing = false;

  constructor(private readonly good: readonly string[]) {}

  async requestPermits(req: PermitRequest): Promise<PermitResponse> {
    this.requests.push(req);
    if (this.failing) throw new PermitsUnavailableError("simulated outage");
    const permits = req.instances
      .filter((instance) => this.good.some((host) => instance.startsWith(host)))
      .map((instance) => ({
        instance,
        ticket: `${instance}/${this.requests.length}`,
      }));
    return { permits, validMs: VALID_MS };
  }
}

const setUp = async (good: readonly string[]) => {
  const permits = new FakePermits(good);
  const harness = new EngineHarness({ permits, permitRule: RULE });
  const bad = await harness.addHost("bad");
  const fine = await harness.addHost("fine");
  return { permits, harness, bad, fine };
};

test("tasks start with a ticket, and only where the step is permitted", async () => {
  const { harness, bad, fine, permits } = await setUp(["fine"]);
  harness.submit("j", [{ taskCount: 3 }]);
  await harness.run(200);
  expect(bad.starts.length).toEqual(0);
  expect(fine.starts.map(({ ticket }) => ticket)).toEqual([
    "fine-1/1",
    "fine-1/1",
    "fine-1/1",
  ]);
  expect(permits.requests.map(({ step }) => step)).toEqual(["j.0.0"]);
});

test("an expired ticket is requested again, for permitted hosts only", async () => {
  const { harness, fine, permits } = await setUp(["fine"]);
  harness.submit("j", [{ taskCount: 1 }]);
  await harness.run(VALID_MS + 100);
  fine.end(taskId("j.0.0.0"), "failed");
  await harness.run(300);
  const named: WorkerInstance[][] = permits.requests.map(({ instances }) => [
    ...instances,
  ]);
  expect(named.length).toEqual(2);
  expect(named[1]).toEqual([fine.instance]);
  expect(fine.starts.at(-1)?.ticket).toEqual("fine-1/2");
});

test("a ticket that a worker refuses is not used again", async () => {
  const { harness, fine, permits } = await setUp(["fine"]);
  fine.answers = "refused";
  fine.refusal = "bad-ticket";
  harness.submit("j", [{}]);
  await harness.run(200);
  expect(fine.starts.length).toEqual(1);
  fine.answers = "ok";
  await harness.run(500);
  expect(permits.requests.length).toEqual(2);
  expect(fine.starts.at(-1)?.ticket).toEqual("fine-1/2");
});

test("an unavailable permit service is asked again, and nothing starts without a permit", async () => {
  const { harness, bad, fine, permits } = await setUp(["fine"]);
  permits.failing = true;
  harness.submit("j", [{}]);
  await harness.run(1_000);
  expect([bad.starts.length, fine.starts.length]).toEqual([0, 0]);
  expect(permits.requests.length >= 3 && permits.requests.length <= 6).toEqual(
    true,
  );
  permits.failing = false;
  await harness.run(500);
  expect(fine.starts.length).toEqual(1);
});

test("each incarnation of the worker needs its own permit", async () => {
  const { harness, fine, permits } = await setUp(["fine"]);
  harness.submit("j", [{}]);
  await harness.run(200);
  fine.replaceWorker();
  await harness.run(300);
  expect(fine.starts.at(-1)?.ticket).toEqual("fine-1x/2");
  expect(permits.requests.length).toEqual(2);
});
