/** One section of an INI file after its checks. */
export interface CheckedSection {
  readonly kind: string;
  /** Name of a named section; empty otherwise. */
  readonly name: string;
  /** Values by key, including the fallbacks of absent keys. */
  readonly values: ReadonlyMap<string, string>;
}
