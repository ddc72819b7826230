import type { PlainHeaderField } from '../http/header-fields.js';

/** A caller's request that has been checked. */
export interface CallerRequest {
  readonly requestId: string;
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly PlainHeaderField[];
  readonly body: Uint8Array;
  readonly team: string;
  readonly unrepeatable: boolean;
  /** Key by which the caller marks repeats; empty if there is none. */
  readonly idempotencyKey: string;
  /** Time of arrival in milliseconds since the epoch. */
  readonly arrivedAt: number;
  /** Time after which the caller no longer needs the answer. */
  readonly deadline: number;
}
