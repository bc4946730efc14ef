/** Member names of the leadership group; they contain the address of the entry. */

import type { EntryId, Incarnation } from "@rackspan/common";

export interface Member {
  readonly entry: EntryId;
  /** Makes a restarted process a different member. */
  readonly incarnation: Incarnation;
  /** `IP:PORT` at which sides reach the entry. */
  readonly address: string;
}

const SEPARATOR = "|";

export const formatMember = ({ entry, incarnation, address }: Member): string =>
  [entry, incarnation, address].join(SEPARATOR);

/** @returns undefined if the name does not have the form of an entry's member name */
export const parseMember = (name: string): Member | undefined => {
  const [entry, incarnation, address, ...rest] = name.split(SEPARATOR);
  if (!entry || !incarnation || !address || rest.length > 0) return undefined;
  return {
    entry: entry as unknown as EntryId,
    incarnation: incarnation as unknown as Incarnation,
    address,
  };
};
