/** Loopback addresses for listeners in tests and on local sites. */

/**
 * Each of the two middle octets takes this many values. Connections to these addresses of
 * 127.0.0.0/8 come from 127.0.0.1.
 */
const VALUES_PER_OCTET = 250;

/**
 * A loopback address derived from the process id, on which no other process listens. So a
 * port that is chosen first and bound later, or bound again, cannot be taken in between.
 *
 * @param host from 1 to 254, distinguishes the listeners of this process
 */
export const processLoopbackAddress = (host: number): string => {
  const network = process.pid % VALUES_PER_OCTET ** 2;
  const high = 1 + Math.floor(network / VALUES_PER_OCTET);
  const low = 1 + (network % VALUES_PER_OCTET);
  return `127.${high}.${low}.${host}`;
};
