import type { Agent } from 'node:http';

/** One call over HTTP/1.1. */
export interface HttpExchange {
  /** Step named in errors, in the form `part.action`. */
  readonly step: string;
  /** IP number and port. */
  readonly address: string;
  readonly method: 'GET' | 'POST' | 'DELETE';
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: Buffer;
  /** Connections to reuse; Node's own if absent. */
  readonly agent?: Agent;
  readonly timeoutMilliseconds: number;
}
