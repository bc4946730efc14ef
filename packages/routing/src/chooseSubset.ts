/**
 * Chooses the part of a large set of endpoints that one entry uses, so that the cost of
 * a decision and the number of connections do not grow with the site. All entries
 * together cover every endpoint at least twice.
 */

import { createHash } from "node:crypto";

export interface SubsetOptions<T> {
  readonly members: readonly T[];
  readonly nameOf: (member: T) => string;
  /** Index of this entry among the live entries, from 0, and their number. */
  readonly entryIndex: number;
  readonly entryCount: number;
  /** Sets up to this size are used in full. */
  readonly minSize: number;
}

/** Minimum number of entries that use each endpoint, if there are that many. */
const MIN_ENTRIES_PER_ENDPOINT = 2;

const orderOf = (name: string): string =>
  createHash("md5").update(name).digest("hex");

/** Returns the same members for the same arguments, regardless of their order. */
export const chooseSubset = <T>({
  members,
  nameOf,
  entryIndex,
  entryCount,
  minSize,
}: SubsetOptions<T>): readonly T[] => {
  const count = members.length;
  const size = Math.max(
    minSize,
    Math.ceil((MIN_ENTRIES_PER_ENDPOINT * count) / Math.max(1, entryCount)),
  );
  if (size >= count) return members;
  const ordered = members
    .map((member) => ({ member, order: orderOf(nameOf(member)) }))
    .sort((a, b) => (a.order < b.order ? -1 : 1));
  const first = Math.floor((entryIndex * count) / Math.max(1, entryCount));
  const chosen: T[] = [];
  for (let step = 0; step < size; step += 1) {
    chosen.push(
      (ordered[(first + step) % count] as (typeof ordered)[0]).member,
    );
  }
  return chosen;
};
