/** Plug-in points: a package defines a point, and plug-ins register themselves by name. */

import { RackspanError } from "./errors.js";

export interface Plugin<Options, T> {
  readonly name: string;
  readonly create: (options: Options) => T;
}

export class UnknownPluginError extends RackspanError {
  readonly kind = "unknown-plugin";
  constructor(point: string, name: string, known: readonly string[]) {
    super({
      what: `no ${point} is registered as "${name}"`,
      remedy: `use one of: ${known.join(", ")}`,
    });
  }
}

export class DuplicatePluginError extends RackspanError {
  readonly kind = "duplicate-plugin";
  constructor(point: string, name: string) {
    super({
      what: `a ${point} named "${name}" is already registered`,
      remedy: "give the plug-in another name",
    });
  }
}

export class Registry<Options, T> {
  private readonly plugins = new Map<string, Plugin<Options, T>>();

  constructor(private readonly point: string) {}

  /** @throws DuplicatePluginError */
  register(plugin: Plugin<Options, T>): void {
    if (this.plugins.has(plugin.name)) {
      throw new DuplicatePluginError(this.point, plugin.name);
    }
    this.plugins.set(plugin.name, plugin);
  }

  /** @throws UnknownPluginError */
  create(name: string, options: Options): T {
    const plugin = this.plugins.get(name);
    if (!plugin) throw new UnknownPluginError(this.point, name, this.names());
    return plugin.create(options);
  }

  names(): readonly string[] {
    return [...this.plugins.keys()].sort();
  }
}
