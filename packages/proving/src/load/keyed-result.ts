import type { LoadResult } from './load-result.js';

/** Result of one request of a load, with the request's key and number. */
export interface KeyedResult extends LoadResult {
  /** Idempotency key; empty if the request has none. */
  readonly key: string;
  /** Position of the request in the load, from 0. */
  readonly number: number;
}
