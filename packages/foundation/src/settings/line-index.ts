/** Index of the line numbers of sections and keys in an INI text. */
export class LineIndex {
  private readonly lines = new Map<string, number>();

  private readonly occurrences = new Map<string, number>();

  public constructor(text: string) {
    let section = '';
    for (const [index, line] of text.split('\n').entries()) {
      const header = /^\s*\[(.*)\]\s*$/.exec(line);
      if (header?.[1] !== undefined) {
        section = header[1].trim();
        this.add(section, '', index + 1);
        continue;
      }
      const key = /^\s*([^;#=\s][^=]*?)\s*=/.exec(line)?.[1];
      if (key !== undefined) {
        this.add(section, key, index + 1);
      }
    }
  }

  /** Returns the last line of a section or key, starting at 1; 0 if absent. */
  public lineOf(section: string, key = ''): number {
    return this.lines.get(`${section}\0${key}`) ?? 0;
  }

  /** Names of all sections in the text. */
  public get sections(): readonly string[] {
    return [...this.lines.keys()]
      .filter(location => location.endsWith('\0'))
      .map(location => location.slice(0, -1));
  }

  /** Returns the sections and keys that occur more than once. */
  public repeated(): readonly RepeatedLocation[] {
    return [...this.occurrences]
      .filter(([, count]) => count > 1)
      .map(([location]) => {
        const [section = '', key = ''] = location.split('\0');
        return { section, key };
      });
  }

  private add(section: string, key: string, line: number): void {
    const location = `${section}\0${key}`;
    this.lines.set(location, line);
    this.occurrences.set(location, (this.occurrences.get(location) ?? 0) + 1);
  }
}

interface RepeatedLocation {
  readonly section: string;
  readonly key: string;
}
