/** How the minion answered a start. */
export type StartResult =
  | { readonly kind: 'started' }
  | { readonly kind: 'refused'; readonly reason: string };
