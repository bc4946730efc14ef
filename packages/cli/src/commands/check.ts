/** `rackspan check`: finds every fault in settings and declarations. */

import { entrySettingsSchema } from "@rackspan/entry";
import {
  checkDocument,
  formatFault,
  parseDocument,
  readText,
  SettingsError,
  type Fault,
} from "@rackspan/kernel";
import { EXIT_CODE } from "../exitCodes.js";
import { readDeclarations } from "../readDeclarations.js";
import { registerCommand } from "./registry.js";

/** Settings contain a listen address; declarations do not. */
const isSettings = (value: unknown): boolean =>
  typeof value === "object" && value !== null && "listen" in value;

const checkPath = (path: string): readonly Fault[] => {
  try {
    if (/\.jsonc?$/.test(path)) {
      const document = parseDocument(path, readText(path));
      if (isSettings(document.value)) {
        checkDocument(entrySettingsSchema, document);
        return [];
      }
    }
    readDeclarations([path]);
    return [];
  } catch (err) {
    if (err instanceof SettingsError) return err.faults;
    throw err;
  }
};

registerCommand({
  name: "check",
  summary: "find faults in entry settings and declarations",
  define: (command) => {
    command.argument("<path...>", "files or folders");
  },
  perform: async ({ output }, paths) => {
    const faults = paths.flatMap((path) => [...checkPath(path)]);
    for (const fault of faults) output.error(formatFault(fault));
    if (faults.length > 0) return EXIT_CODE.BAD_INPUT;
    output.line(`no faults in ${paths.length} paths`);
    return EXIT_CODE.OK;
  },
});
