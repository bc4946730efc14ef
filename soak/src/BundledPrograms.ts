/** The bundled entry and side programs of one source tree. */

import { spawnSync } from "node:child_process";
import { existsSync } from "node:fs";
import { join } from "node:path";

export class ProgramsMissingError extends Error {
  constructor(file: string) {
    super(`${file} is missing; run \`npm run bundle\` in its tree`);
    this.name = "ProgramsMissingError";
  }
}

export class BundledPrograms {
  readonly entry: string;
  readonly side: string;

  /** @throws ProgramsMissingError when one of the programs is not in the folder */
  constructor(folder: string) {
    this.entry = join(folder, "rackspan.mjs");
    this.side = join(folder, "rackspan-side.mjs");
    for (const file of [this.entry, this.side]) {
      if (!existsSync(file)) throw new ProgramsMissingError(file);
    }
  }

  /** Whether the side program accepts the settings file. */
  sideAccepts(file: string): boolean {
    const args = [this.side, "check", "--config", file];
    return spawnSync(process.execPath, args).status === 0;
  }
}
