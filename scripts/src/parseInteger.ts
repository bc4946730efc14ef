/** Parses a script option that must be an integer. */

import { InvalidArgumentError } from "commander";

/** @throws InvalidArgumentError when the text is not an integer */
export const parseInteger = (text: string): number => {
  const value = Number(text);
  if (!Number.isInteger(value))
    throw new InvalidArgumentError("must be an integer");
  return value;
};
