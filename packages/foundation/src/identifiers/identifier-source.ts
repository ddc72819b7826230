/** Generates identifiers that no other process generates. */
export interface IdentifierSource {
  /** Returns a new identifier that starts with the given prefix. */
  readonly next: (prefix: string) => string;
}
