/** Whether one published release note was accepted, and why not. */
export interface NoteVerdict {
  /** Identifier of the note's record. */
  readonly id: string;
  readonly name: string;
  readonly operator: string;
  readonly offset: number;
  readonly accepted: boolean;
  /** Revision that the note created; the one in force if it was rejected. */
  readonly revision: number;
  /** Reasons for which the note was rejected; empty when accepted. */
  readonly reasons: readonly string[];
  /** The INI text. */
  readonly text: string;
}
