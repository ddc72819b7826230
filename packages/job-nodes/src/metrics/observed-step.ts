/** A timed step in the processing of a job. */
export type ObservedStep =
  /** A caller's request, until its answer. */
  | 'call'
  | 'store-append'
  | 'store-read'
  /** From the acceptance of a job until its first task runs. */
  | 'first-start'
  | 'minion-start'
  | 'minion-stop'
  | 'minion-pace';
