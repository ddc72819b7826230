/** Maximum number of identifiers kept to detect repeated appends. */
const MAXIMUM_IDENTIFIERS = 20_000;

/** The identifiers of the most recent records. */
export class RecentIdentifiers {
  private readonly identifiers = new Set<string>();

  /** Adds an identifier; returns false when it is already present. */
  public add(identifier: string): boolean {
    if (this.identifiers.has(identifier)) {
      return false;
    }
    this.identifiers.add(identifier);
    const oldest = this.identifiers.keys().next();
    if (this.identifiers.size > MAXIMUM_IDENTIFIERS && oldest.done !== true) {
      this.identifiers.delete(oldest.value);
    }
    return true;
  }

  public has(identifier: string): boolean {
    return this.identifiers.has(identifier);
  }

  public toArray(): readonly string[] {
    return [...this.identifiers];
  }
}
