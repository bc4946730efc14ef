/** `rackspan submit`, `rackspan cancel` and `rackspan throttle`: commands for units. */

import { unitId } from "@rackspan/common";
import { EXIT_CODE, type ExitCode } from "../exitCodes.js";
import { readDeclarations } from "../readDeclarations.js";
import { reportResult } from "../reportResult.js";
import { registerCommand } from "./registry.js";

registerCommand({
  name: "submit",
  summary: "submit batch jobs from files",
  define: (command) => {
    command.argument("<path...>", "files or folders of job declarations");
  },
  perform: async ({ client, output }, paths) => {
    let worst: ExitCode = EXIT_CODE.OK;
    for (const declaration of readDeclarations(paths)) {
      if (declaration.kind !== "job") {
        output.error(
          `${declaration.kind}/${declaration.name} is not a job; publish it with rackspan apply`,
        );
        worst = EXIT_CODE.BAD_INPUT;
        continue;
      }
      const result = await client.call("submit", { job: declaration });
      const code = reportResult(output, `job/${declaration.name}`, result);
      if (code !== EXIT_CODE.OK) worst = code;
    }
    return worst;
  },
});

registerCommand({
  name: "cancel",
  summary: "cancel units, for example job/minutes-0412",
  define: (command) => {
    command.argument("<unit...>", "unit ids as shown by rackspan get units");
  },
  perform: async ({ client, output }, units) => {
    let worst: ExitCode = EXIT_CODE.OK;
    for (const unit of units) {
      const result = await client.call("cancel", { unit: unitId(unit) });
      const code = reportResult(output, unit, result);
      if (code !== EXIT_CODE.OK) worst = code;
    }
    return worst;
  },
});

interface ThrottleOptions {
  readonly share: string;
}

registerCommand<ThrottleOptions>({
  name: "throttle",
  summary: "limit the running attempt of a unit to a share of its processors",
  define: (command) => {
    command
      .argument("<unit>", "unit id as shown by rackspan get units")
      .requiredOption("--share <share>", "from 0.01 to 1; 1 removes the limit");
  },
  perform: async ({ client, output }, [unit], { share }) => {
    const limit = Number(share);
    if (!(limit >= 0.01 && limit <= 1)) {
      output.error(`--share ${share} is not in the range 0.01 to 1`);
      return EXIT_CODE.BAD_INPUT;
    }
    const { host } = await client.call("throttle", {
      unit: unitId(unit as string),
      share: limit,
    });
    output.line(`${unit}: limited to ${limit} on ${host}`);
    return EXIT_CODE.OK;
  },
});
