/** For the default of an exhaustive switch; the compiler reports a missing case. */
export const assertNever = (value: never): never => {
  throw new Error(`unhandled case: ${JSON.stringify(value)}`);
};
