/** A complete HTTP response of any status. */
export interface HttpResponse {
  readonly status: number;
  readonly body: Buffer;
}
