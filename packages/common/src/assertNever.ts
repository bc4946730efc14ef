/** Ends a switch that must name every case; the compiler rejects a missing one. */
export const assertNever = (value: never): never => {
  throw new Error(`unhandled case: ${JSON.stringify(value)}`);
};
