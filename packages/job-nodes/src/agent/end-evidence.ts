/** What shows that an incarnation of the minion, and all its runs, have ended. */
export type EndEvidence =
  'another incarnation answers' | 'it has left' | 'its last lease is over';
