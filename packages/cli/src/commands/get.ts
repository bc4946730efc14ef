/** `rackspan get`: shows declarations in force, or the state of units. */

import { EXIT_CODE } from "../exitCodes.js";
import { formatTable } from "../Output.js";
import { registerCommand } from "./registry.js";

interface GetOptions {
  readonly json?: boolean;
}

const LIMIT = 10_000;

registerCommand<GetOptions>({
  name: "get",
  summary:
    "show declarations in force, or units: get config | get units [PREFIX]",
  define: (command) => {
    command
      .argument("<what>", "config or units")
      .argument(
        "[prefix]",
        "only units whose id has this prefix, for example job/ or service/roll-call",
      )
      .option("--json", "print JSON");
  },
  perform: async ({ client, output }, [what, prefix], { json }) => {
    if (what === "config") {
      const config = await client.call("get", {});
      output.line(JSON.stringify(config, null, json ? 0 : 2));
      return EXIT_CODE.OK;
    }
    if (what !== "units") {
      output.error(`"${what}" cannot be shown; use config or units`);
      return EXIT_CODE.BAD_INPUT;
    }
    const wanted = prefix === undefined || prefix === "undefined" ? "" : prefix;
    const { units } = await client.call("units", {
      prefix: wanted,
      limit: LIMIT,
    });
    if (json) {
      output.line(JSON.stringify(units));
      return EXIT_CODE.OK;
    }
    const rows = units.map((unit) => [
      unit.unit,
      unit.finish ?? unit.phase,
      String(unit.attempt),
      String(unit.failures),
      unit.host ?? "-",
      unit.lastEnd ?? "-",
    ]);
    output.line(
      formatTable([
        ["UNIT", "STATE", "ATTEMPT", "FAILURES", "HOST", "LAST END"],
        ...rows,
      ]),
    );
    return EXIT_CODE.OK;
  },
});
