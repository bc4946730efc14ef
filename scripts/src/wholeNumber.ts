/** Reads an option of a script that must be a whole number. */

import { InvalidArgumentError } from "commander";

/** @throws InvalidArgumentError when it is not a whole number */
export const wholeNumber = (text: string): number => {
  const value = Number(text);
  if (!Number.isInteger(value))
    throw new InvalidArgumentError("a whole number is needed");
  return value;
};
