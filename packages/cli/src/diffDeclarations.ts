/** Computes the changes that turn the configuration in force into the declared one. */

import { isDeepStrictEqual } from "node:util";
import { declarationKey, type Change, type Declaration } from "@rackspan/state";

export interface DiffEntry {
  readonly key: string;
  readonly action: "add" | "change" | "remove";
  readonly change: Change;
}

export interface DiffOptions {
  readonly current: readonly Declaration[];
  readonly declared: readonly Declaration[];
  /** Whether to remove what is in force but not declared. */
  readonly prune: boolean;
}

export const diffDeclarations = ({
  current,
  declared,
  prune,
}: DiffOptions): DiffEntry[] => {
  const before = new Map(
    current.map((entry) => [declarationKey(entry), entry]),
  );
  const wanted = new Set(declared.map(declarationKey));
  const entries: DiffEntry[] = [];
  for (const declaration of declared) {
    const key = declarationKey(declaration);
    const old = before.get(key);
    if (old && isDeepStrictEqual(old, declaration)) continue;
    const action = old ? "change" : "add";
    entries.push({ key, action, change: { action: "put", declaration } });
  }
  if (!prune) return entries;
  for (const [key, { kind, name }] of before) {
    if (wanted.has(key)) continue;
    entries.push({
      key,
      action: "remove",
      change: { action: "remove", kind, name },
    });
  }
  return entries;
};

const SIGNS = { add: "+", change: "~", remove: "-" } as const;

/** Formats one line for each change, for example `+ service/roll-call`. */
export const formatDiff = (entries: readonly DiffEntry[]): string =>
  entries.map(({ key, action }) => `${SIGNS[action]} ${key}`).join("\n");
