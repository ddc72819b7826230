/** A published release note and its verdict, as returned by an entry. */
export interface NoteVerdictView {
  readonly id: string;
  readonly name: string;
  readonly operator: string;
  readonly offset: number;
  readonly accepted: boolean;
  readonly revision: number;
  readonly reasons: readonly string[];
  readonly text: string;
}
