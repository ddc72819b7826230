import type { CheckedSection } from './checked-section.js';

/** Reads the values of a checked section as typed values. */
export class SectionReader {
  public constructor(private readonly section: CheckedSection) {}

  public text(key: string): string {
    return this.section.values.get(key) ?? '';
  }

  public number(key: string): number {
    return Number(this.text(key));
  }

  public boolean(key: string): boolean {
    return this.text(key) === 'true';
  }

  /** Reads a comma-separated list, without empty elements. */
  public list(key: string): readonly string[] {
    return this.text(key)
      .split(',')
      .map(element => element.trim())
      .filter(element => element !== '');
  }
}
