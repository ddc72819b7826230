/** What the store answers to an append. */
export interface AppendAnswer {
  readonly status: number;
  readonly body: object;
}
