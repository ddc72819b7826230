import type { IdentifierSource } from './identifier-source.js';

/** Generates identifiers from a counter, for tests and reproducible runs. */
export class SequentialIdentifiers implements IdentifierSource {
  private count = 0;

  public readonly next = (prefix: string): string => {
    this.count += 1;
    return `${prefix}-${this.count}`;
  };
}
