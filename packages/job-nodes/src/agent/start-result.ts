/** How the minion answered a start. */
export type StartResult =
  | {
      readonly kind: 'started';
      /** The clock of the minion that answered, if it told. */
      readonly clock?: number;
    }
  | { readonly kind: 'refused'; readonly reason: string };
