/** `rackspan apply`: publishes declarations, and reports the result. */

import { userInfo } from "node:os";
import { sleep, SystemClock, type Sequence } from "@rackspan/common";
import { diffDeclarations, formatDiff } from "../diffDeclarations.js";
import { EXIT_CODE, type ExitCode } from "../exitCodes.js";
import { readDeclarations } from "../readDeclarations.js";
import { registerCommand, type CommandContext } from "./registry.js";

interface ApplyOptions {
  readonly dryRun?: boolean;
  readonly prune?: boolean;
  readonly wait?: boolean;
  readonly timeoutMs: string;
}

const POLL_MS = 100;

/** Waits until the version is in force at every entry that is live in the host list. */
const waitUntilInForce = async (
  { client, output }: CommandContext,
  version: number,
  timeoutMs: number,
): Promise<ExitCode> => {
  const clock = new SystemClock({ keepsProcessAlive: true });
  const end = clock.monotonic() + timeoutMs;
  while (clock.monotonic() < end) {
    const status = await client.call("status", {});
    const versions = [
      status.configVersion,
      ...status.peers.map((peer) => peer.status?.configVersion ?? -1),
    ];
    if (versions.every((held) => held >= version)) {
      output.line(
        `in force at ${versions.length} of ${versions.length} entries`,
      );
      return EXIT_CODE.OK;
    }
    await sleep(clock, POLL_MS);
  }
  output.error(
    `version ${version} is accepted, but not in force everywhere yet; see rackspan status`,
  );
  return EXIT_CODE.TIMED_OUT;
};

registerCommand<ApplyOptions>({
  name: "apply",
  summary: "publish declarations from files or folders",
  define: (command) => {
    command
      .argument(
        "<path...>",
        "files or folders of declarations, JSON with comments",
      )
      .option(
        "--dry-run",
        "show what would change, and exit with code 10 if there are changes",
      )
      .option("--prune", "remove what is in force but not declared")
      .option("--wait", "wait until the change is in force at every entry")
      .option("--timeout-ms <ms>", "longest wait", "10000");
  },
  perform: async (context, paths, options) => {
    const { client, output } = context;
    const declared = readDeclarations(paths);
    const { version, declarations } = await client.call("get", {});
    const prune = options.prune ?? false;
    const diff = diffDeclarations({ current: declarations, declared, prune });
    if (diff.length === 0) {
      output.line(`nothing to change; version ${version} is in force`);
      return EXIT_CODE.OK;
    }
    output.line(formatDiff(diff));
    if (options.dryRun) return EXIT_CODE.CHANGES;
    const result = await client.call("apply", {
      operator: userInfo().username,
      base: version as Sequence,
      changes: diff.map(({ change }) => change),
    });
    if (!result.accepted) {
      output.error(
        `not accepted: ${result.reason}: ${result.detail}; check the conflicting change, then apply again`,
      );
      return EXIT_CODE.REFUSED;
    }
    output.line(`accepted as version ${result.sequence}`);
    if (!options.wait) return EXIT_CODE.OK;
    return waitUntilInForce(
      context,
      result.sequence,
      Number(options.timeoutMs),
    );
  },
});
