/** The two bundled programs of one tree. */

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

  /** @throws ProgramsMissingError when the folder lacks one of them */
  constructor(folder: string) {
    this.entry = join(folder, "rackspan.mjs");
    this.side = join(folder, "rackspan-side.mjs");
    for (const file of [this.entry, this.side]) {
      if (!existsSync(file)) throw new ProgramsMissingError(file);
    }
  }

  /** Whether the side finds no fault in the settings. */
  sideAccepts(file: string): boolean {
    const args = [this.side, "check", "--config", file];
    return spawnSync(process.execPath, args).status === 0;
  }
}
