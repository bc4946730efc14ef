/** Nominal types for plain values, so that ids of different kinds cannot be mixed up. */

declare const BRAND: unique symbol;

export type Brand<T, Name extends string> = T & { readonly [BRAND]: Name };

/** Brands a value that the caller has already validated. */
export const brand = <B extends Brand<string | number, string>>(
  value: B extends string ? string : number,
): B => value as unknown as B;
