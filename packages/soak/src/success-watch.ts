/** Finds tasks that begin again after a success that is acknowledged then or later. */
export class SuccessWatch {
  private readonly acknowledged = new Set<string>();

  /** Starts that follow a successful run, by task and that run. */
  private readonly later = new Map<string, Map<number, string[]>>();

  /** Records a successful run. */
  public recordSuccess(task: string, run: number): void {
    const runs = this.later.get(task) ?? new Map<number, string[]>();
    this.later.set(task, runs.set(run, []));
  }

  /** Records a start, and returns what it breaks. */
  public recordStart(task: string, text: string): readonly string[] {
    this.later.get(task)?.forEach(starts => {
      starts.push(text);
    });
    return this.acknowledged.has(task)
      ? [`${text} began after a success was acknowledged`]
      : [];
  }

  /** Records that a success counts, and returns what is broken by that. */
  public acknowledge(task: string, run: number): readonly string[] {
    const starts = this.acknowledged.has(task)
      ? []
      : (this.later.get(task)?.get(run) ?? []);
    this.acknowledged.add(task);
    return starts.map(
      text => `${text} began after a success, acknowledged later`,
    );
  }
}
