/** Schemas for branded values, so that parsed messages contain branded ids. */

import { z } from "zod";
import type { Brand } from "./brand.js";

const MAX_ID_LENGTH = 256;

/** A short non-empty string that is branded on parse. */
export const idSchema = <B extends Brand<string, string>>() =>
  z
    .string()
    .min(1)
    .max(MAX_ID_LENGTH)
    .transform((value) => value as unknown as B);

/** A non-negative integer that is branded on parse. */
export const countSchema = <B extends Brand<number, string>>() =>
  z
    .number()
    .int()
    .min(0)
    .transform((value) => value as unknown as B);
