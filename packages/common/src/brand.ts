/** Nominal typing for plain values: two ids of different kinds never mix. */

declare const BRAND: unique symbol;

export type Brand<T, Name extends string> = T & { readonly [BRAND]: Name };

/** Marks a value that the caller has already checked as a branded one. */
export const brand = <B extends Brand<string | number, string>>(
  value: B extends string ? string : number,
): B => value as unknown as B;
