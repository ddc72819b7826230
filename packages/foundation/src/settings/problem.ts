/** A validation error in an INI file. */
export interface Problem {
  /** Line number, starting at 1; 0 if the problem concerns no single line. */
  readonly line: number;
  readonly section: string;
  readonly key: string;
  readonly found: string;
  readonly allowed: string;
  /** The defined name closest to an unknown one, if any is close enough. */
  readonly nearest?: string;
}
