/** A whole answer over HTTP, whatever its status. */
export interface HttpResponse {
  readonly status: number;
  readonly body: Buffer;
}
