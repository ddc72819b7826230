/** A whole answer over HTTP, whatever its status. */
export interface HttpAnswer {
  readonly status: number;
  readonly body: Buffer;
}
