/** `rackspan drain` and `rackspan fence`: commands for hosts. */

import { hostId } from "@rackspan/common";
import { EXIT_CODE } from "../exitCodes.js";
import { reportResult } from "../reportResult.js";
import { registerCommand } from "./registry.js";

interface FenceOptions {
  readonly iHaveCheckedThatItIsDown?: boolean;
}

registerCommand({
  name: "drain",
  summary: "take a host out of service; its work moves to other hosts",
  define: (command) => {
    command.argument("<host>", "host name as shown by rackspan status");
  },
  perform: async ({ client, output }, [host]) => {
    const result = await client.call("drain", {
      host: hostId(host as string),
    });
    return reportResult(output, `${host}: draining`, result);
  },
});

registerCommand<FenceOptions>({
  name: "fence",
  summary:
    "certify that nothing runs on a host any more, so that its work can run elsewhere",
  define: (command) => {
    command
      .argument("<host>", "host name")
      .option(
        "--i-have-checked-that-it-is-down",
        "confirm that the host is off or wiped; otherwise its work would run twice",
      );
  },
  perform: async ({ client, output }, [host], options) => {
    if (!options.iHaveCheckedThatItIsDown) {
      output.error(
        "fencing a host that is still running lets its work run twice; make sure that it is down, then pass --i-have-checked-that-it-is-down",
      );
      return EXIT_CODE.BAD_INPUT;
    }
    const result = await client.call("fence", {
      host: hostId(host as string),
    });
    return reportResult(output, `${host}: fenced`, result);
  },
});
