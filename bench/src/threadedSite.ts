/** Settings of the processes that a benchmark starts on a stand-in platform. */

import type { SiteDescription, StandinPlatform } from "@rackspan/harness";
import { RoleThread } from "./threads.js";

const SECURITY = { mode: "development" };
const ANY_PORT = { address: "127.0.0.1", port: 0 };

type WorkerPlace = SiteDescription["workers"][number];
type Overrides = Readonly<Record<string, unknown>>;

export const sideSettingsFor = (
  platform: StandinPlatform,
  { host, availabilityZone, rack }: WorkerPlace,
  overrides: Overrides,
) => ({
  host,
  availabilityZone,
  rack,
  generation: 1,
  listen: ANY_PORT,
  worker: { url: platform.workers.get(host)?.server.url },
  security: SECURITY,
  logLevel: "silent",
  ...overrides,
});

/** Starts the first entry of the site on its own thread. */
export const startEntryThread = async (
  platform: StandinPlatform,
  site: SiteDescription,
): Promise<RoleThread> => {
  const [place] = site.entries;
  if (!place) throw new Error("the site has no entry");
  const entry = await RoleThread.start({
    role: "entry",
    settings: {
      host: place.host,
      availabilityZone: place.availabilityZone,
      listen: ANY_PORT,
      control: ANY_PORT,
      log: { url: platform.log.server.url },
      hostList: { url: platform.hostList.server.url, everyMs: 500 },
      security: SECURITY,
      logLevel: "silent",
    },
  });
  platform.listEntry(place, entry.ready.control as string);
  return entry;
};
