/** Names of the members of the leadership group; they carry the leader's address. */

import type { EntryId, Incarnation } from "@rackspan/common";

export interface Member {
  readonly entry: EntryId;
  /** A restarted process is another member. */
  readonly incarnation: Incarnation;
  /** `IP:PORT` at which sides reach the entry. */
  readonly address: string;
}

const SEPARATOR = "|";

export const formatMember = ({ entry, incarnation, address }: Member): string =>
  [entry, incarnation, address].join(SEPARATOR);

/** @returns undefined for a name that no entry has written */
export const parseMember = (name: string): Member | undefined => {
  const [entry, incarnation, address, ...rest] = name.split(SEPARATOR);
  if (!entry || !incarnation || !address || rest.length > 0) return undefined;
  return {
    entry: entry as unknown as EntryId,
    incarnation: incarnation as unknown as Incarnation,
    address,
  };
};
