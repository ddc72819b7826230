/** Decisions about a subject, as returned by an entry. */
export interface ExplanationView {
  readonly subject: string;
  readonly tasks: readonly {
    readonly task: string;
    readonly attempts: number;
    readonly evictions: number;
    readonly failures: number;
    readonly finished: boolean;
    readonly lastOutcome: string;
    readonly lastReason: string;
    readonly unplaceable: string;
  }[];
  readonly attempts: readonly {
    readonly id: string;
    readonly worker: string;
    readonly state: string;
    readonly reason: string;
  }[];
  readonly decisions: readonly {
    readonly offset: number;
    readonly at: number;
    readonly by: string;
    readonly voidBecause: string;
    readonly decision: Readonly<Record<string, unknown>>;
  }[];
}
