/** Listen addresses in settings. */

import { z } from "zod";

export interface ListenAddress {
  /** An IP address. */
  readonly address: string;
  readonly port: number;
}

/** `IP:PORT`. */
export const endpointSchema = z.string().regex(/^[\d.]+:\d{1,5}$/, {
  message: "not of the form IP:PORT",
});

/** @param text of the form `IP:PORT`; the form is not checked */
export const splitAddress = (text: string): ListenAddress => {
  const at = text.lastIndexOf(":");
  return { address: text.slice(0, at), port: Number(text.slice(at + 1)) };
};

/** Parses `IP:PORT`. */
export const listenAddressSchema = endpointSchema.transform(splitAddress);
