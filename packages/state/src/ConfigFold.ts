/** The accepted configuration: declarations and the versions that set them. */

import { sequence, type Sequence } from "@rackspan/common";
import {
  declarationKey,
  type Declaration,
  type DeclarationKind,
  type ServiceDeclaration,
} from "./declarations.js";
import type { Change, RecordOf } from "./records.js";

export interface VersionedDeclaration {
  readonly declaration: Declaration;
  /** Sequence of the change that set it. */
  readonly version: Sequence;
}

export interface ConfigSnapshot {
  readonly version: number;
  readonly declarations: readonly VersionedDeclaration[];
  /** Removed names and the versions that removed them, to detect conflicts. */
  readonly removed: readonly {
    readonly key: string;
    readonly version: number;
  }[];
}

/** The declaration because of which a change was rejected. */
export interface ConfigConflict {
  readonly key: string;
  readonly changedAt: Sequence;
}

const MAX_REMOVED = 10_000;

const keyOfChange = (change: Change): string =>
  declarationKey(change.action === "put" ? change.declaration : change);

export class ConfigFold {
  private readonly declarations = new Map<string, VersionedDeclaration>();
  private readonly removed = new Map<string, Sequence>();
  private latest = sequence(0);

  /** Sequence of the last accepted change. */
  get version(): Sequence {
    return this.latest;
  }

  get(kind: DeclarationKind, name: string): Declaration | undefined {
    return this.declarations.get(declarationKey({ kind, name }))?.declaration;
  }

  all(): readonly VersionedDeclaration[] {
    return [...this.declarations.values()];
  }

  services(): readonly ServiceDeclaration[] {
    return this.ofKind("service");
  }

  /** All declarations of one kind. */
  ofKind<K extends DeclarationKind>(
    kind: K,
  ): readonly Extract<Declaration, { kind: K }>[] {
    return this.all().flatMap(({ declaration }) =>
      declaration.kind === kind
        ? [declaration as Extract<Declaration, { kind: K }>]
        : [],
    );
  }

  /** The first declaration in the record that has changed since its `base`, if any. */
  conflictOf(record: RecordOf<"apply">): ConfigConflict | undefined {
    for (const change of record.changes) {
      const key = keyOfChange(change);
      const changedAt =
        this.declarations.get(key)?.version ?? this.removed.get(key);
      if (changedAt !== undefined && changedAt > record.base) {
        return { key, changedAt };
      }
    }
    return undefined;
  }

  accept(record: RecordOf<"apply">, at: Sequence): void {
    for (const change of record.changes) this.acceptChange(change, at);
    this.latest = at;
  }

  private acceptChange(change: Change, at: Sequence): void {
    const key = keyOfChange(change);
    if (change.action === "put") {
      this.declarations.set(key, {
        declaration: change.declaration,
        version: at,
      });
      this.removed.delete(key);
      return;
    }
    this.declarations.delete(key);
    this.removed.set(key, at);
    if (this.removed.size > MAX_REMOVED) {
      this.removed.delete(this.removed.keys().next().value as string);
    }
  }

  toSnapshot(): ConfigSnapshot {
    return {
      version: this.latest,
      declarations: this.all(),
      removed: [...this.removed].map(([key, version]) => ({ key, version })),
    };
  }

  restore(snapshot: ConfigSnapshot): void {
    this.latest = sequence(snapshot.version);
    for (const entry of snapshot.declarations) {
      this.declarations.set(declarationKey(entry.declaration), entry);
    }
    for (const { key, version } of snapshot.removed) {
      this.removed.set(key, sequence(version));
    }
  }
}
