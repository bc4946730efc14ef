/** `rackspan drain` and `rackspan fence`. */

import { hostId } from "@rackspan/common";
import { EXIT_CODE } from "../exitCodes.js";
import { reportVerdict } from "../reportVerdict.js";
import { registerCommand } from "./registry.js";

interface FenceOptions {
  readonly iHaveCheckedThatItIsDown?: boolean;
}

registerCommand({
  name: "drain",
  summary: "take a host out of service; its work moves to other hosts",
  define: (command) => {
    command.argument("<host>", "a host's name, as rackspan status shows it");
  },
  perform: async ({ client, output }, [host]) => {
    const verdict = await client.call("drain", {
      host: hostId(host as string),
    });
    return reportVerdict(output, `${host}: draining`, verdict);
  },
});

registerCommand<FenceOptions>({
  name: "fence",
  summary:
    "certify that nothing runs on a host any more, so that its work can go on elsewhere",
  define: (command) => {
    command
      .argument("<host>", "a host's name")
      .option(
        "--i-have-checked-that-it-is-down",
        "the host is off or wiped; work would run twice if not",
      );
  },
  perform: async ({ client, output }, [host], options) => {
    if (!options.iHaveCheckedThatItIsDown) {
      output.error(
        "fencing a host that still runs lets its work run twice; make sure that it is down, then give --i-have-checked-that-it-is-down",
      );
      return EXIT_CODE.BAD_INPUT;
    }
    const verdict = await client.call("fence", {
      host: hostId(host as string),
    });
    return reportVerdict(output, `${host}: fenced`, verdict);
  },
});
