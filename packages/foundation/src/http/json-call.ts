import type { HttpCall } from './http-call.js';

/** One call over HTTP/1.1 whose body is sent as JSON. */
export interface JsonCall extends Omit<HttpCall, 'body'> {
  readonly body?: unknown;
}
