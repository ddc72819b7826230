/** An upstream as its agent reports it to the entries. */
export interface AnnouncedUpstream {
  readonly service: string;
  readonly attempt: string;
  readonly slots: number;
}
