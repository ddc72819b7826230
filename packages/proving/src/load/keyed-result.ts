import type { LoadResult } from './load-result.js';

/** Result of one request of a load, with its idempotency key; empty without. */
export interface KeyedResult extends LoadResult {
  readonly key: string;
  readonly number: number;
}
