/** Loopback addresses for listeners of tests and of local sites. */

/** The part of 127.0.0.0/8 that is dealt out; connections to it come from 127.0.0.1. */
const NETWORKS_OF_OCTET = 250;

/**
 * An address on which no other process listens, so that a port which is picked first
 * and listened on later, or again, cannot be taken meanwhile.
 *
 * @param host from 1 to 254, to tell the process's own listeners apart
 */
export const processLoopbackAddress = (host: number): string => {
  const network = process.pid % NETWORKS_OF_OCTET ** 2;
  const high = 1 + Math.floor(network / NETWORKS_OF_OCTET);
  const low = 1 + (network % NETWORKS_OF_OCTET);
  return `127.${high}.${low}.${host}`;
};
