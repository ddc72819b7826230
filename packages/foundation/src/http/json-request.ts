/** A parsed request to a JSON route. */
export interface JsonRequest {
  readonly query: URLSearchParams;
  readonly body: unknown;
}
