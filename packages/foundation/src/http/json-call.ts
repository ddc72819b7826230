import type { HttpExchange } from './http-exchange.js';

/** One JSON call over HTTP/1.1. */
export interface JsonCall extends Omit<HttpExchange, 'body'> {
  readonly body?: unknown;
}
