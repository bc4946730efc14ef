/** Addresses at which our processes listen, as settings write them. */

import { z } from "zod";

export interface ListenAddress {
  /** An IP number. */
  readonly address: string;
  readonly port: number;
}

/** `IP:PORT`. */
export const endpointSchema = z.string().regex(/^[\d.]+:\d{1,5}$/, {
  message: "not of the form IP:PORT",
});

/** @param text of the form `IP:PORT`, which is not checked */
export const splitAddress = (text: string): ListenAddress => {
  const at = text.lastIndexOf(":");
  return { address: text.slice(0, at), port: Number(text.slice(at + 1)) };
};

/** `IP:PORT`, taken apart. */
export const listenAddressSchema = endpointSchema.transform(splitAddress);
