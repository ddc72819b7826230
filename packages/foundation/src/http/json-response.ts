/** The response of a JSON route. */
export interface JsonResponse {
  readonly status: number;
  readonly body: unknown;
  /** Media type when the body is text and not JSON. */
  readonly contentType?: string;
}
