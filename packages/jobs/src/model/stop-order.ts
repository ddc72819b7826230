/** Order to stop one run of a task. */
export interface StopOrder {
  readonly task: string;
  readonly run: number;
}
