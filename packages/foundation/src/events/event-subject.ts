/**
 * The request, job or worker that an event concerns; used to filter the time
 * line.
 */
export interface EventSubject {
  readonly request?: string;
  readonly job?: string;
  readonly worker?: string;
}
