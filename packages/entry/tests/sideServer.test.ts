/** Which of a host's connections the leader accepts reports from, over real sockets. */

import { once } from "node:events";
import { connect, createServer } from "node:net";
import { test } from "node:test";
import { expect } from "earl";
import {
  brand,
  processLoopbackAddress,
  silentLogger,
  sleep,
  SystemClock,
  type AvailabilityZone,
  type EntryId,
  type Epoch,
  type HostId,
  type ListenAddress,
  type ServiceName,
  type WorkerInstance,
  type WorkerTime,
} from "@rackspan/common";
import { peerMethods, SideServer, type ActiveTerm } from "@rackspan/entry";
import {
  addressOf,
  hostMethods,
  leaderMethods,
  JsonRpcConnection,
  type HostReport,
} from "@rackspan/protocol";
import type { HostSession } from "@rackspan/scheduling";

const HOST = brand<HostId>("h1");
const ZONE = brand<AvailabilityZone>("a");
const TIMEOUT_MS = 1_000;
const ADDRESS = processLoopbackAddress(1);

const reportOf = (instance: string): HostReport => ({
  worker: {
    instance: brand<WorkerInstance>(instance),
    service: brand<ServiceName>("kaigi"),
    labels: [],
    rack: "",
    milliCores: 32_000,
    memoryMiB: 128_000,
    accelerators: 0,
    draining: false,
    leavesInMs: undefined,
  },
  at: 1_000 as unknown as WorkerTime,
  running: [],
  ended: [],
  hasMoreEnds: false,
  lostRuns: [],
});

/** Records the reports that an engine receives, and the session that it would send orders to. */
class EngineProbe {
  readonly reported: WorkerInstance[] = [];
  session: HostSession | undefined;

  attach(_host: HostId, session: HostSession): void {
    this.session = session;
  }

  detach(_host: HostId, session: HostSession): void {
    if (this.session === session) this.session = undefined;
  }

  handleReport(
    _host: HostId,
    _zone: AvailabilityZone,
    report: HostReport,
  ): object {
    this.reported.push(report.worker.instance);
    return { acknowledged: 0 };
  }
}

const freePort = async (): Promise<number> => {
  const server = createServer().listen(0, ADDRESS);
  await once(server, "listening");
  const port = Number(addressOf(server).split(":")[1]);
  server.close();
  await once(server, "close");
  return port;
};

/** One connection of the host's side. */
const openSide = async ({ address, port }: ListenAddress) => {
  const socket = connect({ host: address, port });
  await once(socket, "connect");
  return new JsonRpcConnection({
    socket,
    servedMethods: hostMethods,
    calledMethods: { ...leaderMethods, ...peerMethods },
    handlers: {
      startTask: () => ({ kind: "silent" }) as const,
      stopTask: () => ({ kind: "silent" }) as const,
      acknowledge: () => ({}),
      describe: () => ({}),
    },
    idleTimeoutMs: 4_000,
    clock: new SystemClock(),
    logger: silentLogger,
  });
};

type SideConnection = Awaited<ReturnType<typeof openSide>>;

const attach = (side: SideConnection) =>
  side.call("attach", { host: HOST, availabilityZone: ZONE }, TIMEOUT_MS);

const report = (side: SideConnection, instance: string) =>
  side.call("report", reportOf(instance), TIMEOUT_MS);

const withServer = async (
  run: (
    listen: ListenAddress,
    probe: EngineProbe,
    server: SideServer,
  ) => Promise<void>,
): Promise<void> => {
  const listen = { address: ADDRESS, port: await freePort() };
  const probe = new EngineProbe();
  const leading = {
    epoch: brand<Epoch>(1),
    engine: probe,
  } as unknown as ActiveTerm;
  const server = new SideServer({
    listen,
    activeTerm: () => leading,
    peerHandlers: () => ({
      announce: () => ({ ready: true, peers: [] }),
      forward: () => ({ kind: "accepted" }),
    }),
    clock: new SystemClock(),
    logger: silentLogger,
  });
  await server.start();
  try {
    await run(listen, probe, server);
  } finally {
    await server.stop();
  }
};

// Such a report is about the previous incarnation of the worker, and would end the runs of
// the current one.
test("a report over a connection that its side has replaced is refused", async () => {
  await withServer(async (listen, probe) => {
    const old = await openSide(listen);
    await attach(old);
    await report(old, "first incarnation");
    const present = await openSide(listen);
    await attach(present);
    await report(present, "second incarnation");
    const late = await report(old, "first incarnation").then(
      () => "taken",
      () => "refused",
    );
    expect(late).toEqual("refused");
    expect(probe.reported.map(String)).toEqual([
      "first incarnation",
      "second incarnation",
    ]);
    present.close("the test is over");
  });
});

// Otherwise reports would be answered and leases renewed, but no order would reach the host.
test("a host whose connections attached out of order has a session for orders or reattaches", async () => {
  await withServer(async (listen, probe) => {
    const present = await openSide(listen);
    await attach(present);
    const late = await openSide(listen);
    await attach(late);
    late.close("given up before it attached");
    await Promise.race([present.closed, sleep(new SystemClock(), TIMEOUT_MS)]);
    const isServed = probe.session !== undefined;
    const mustReattach = !present.isOpen;
    expect([isServed, mustReattach].includes(true)).toEqual(true);
    present.close("the test is over");
  });
});

// Its host would keep to an entry that no longer leads.
test("the connection of a host that has also called as an entry is closed when the lead is lost", async () => {
  await withServer(async (listen, _probe, server) => {
    const side = await openSide(listen);
    await attach(side);
    const self = { entry: brand<EntryId>("e"), address: "10.0.0.1:1" };
    await side.call("announce", { ...self, ready: true }, TIMEOUT_MS);
    server.disconnectAll("group-changed");
    const timedOut = sleep(new SystemClock(), TIMEOUT_MS).then(() => "open");
    const closed = side.closed.then(() => "closed");
    expect(await Promise.race([closed, timedOut])).toEqual("closed");
  });
});
