/** `rackspan entry`: runs an entry process. */

import { EntryProcess, entrySettingsSchema } from "@rackspan/entry";
import {
  loadSettings,
  overrideFromFlag,
  overridesFromEnvironment,
} from "@rackspan/kernel";
import { runProcess } from "../runProcess.js";
import {
  addSettingsOptions,
  type SettingsOptions,
} from "../addSettingsOptions.js";
import { registerCommand } from "./registry.js";

registerCommand<SettingsOptions>({
  name: "entry",
  summary: "run an entry process",
  define: addSettingsOptions,
  perform: async ({ stop }, _args, { config, set }) => {
    const overrides = [
      ...overridesFromEnvironment(process.env),
      ...set.map(overrideFromFlag),
    ];
    const settings = loadSettings({
      file: config,
      schema: entrySettingsSchema,
      overrides,
    });
    return runProcess(new EntryProcess({ settings }), stop);
  },
});
