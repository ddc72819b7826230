import type { Agent } from 'node:http';

/** One call over HTTP/1.1. */
export interface HttpCall {
  /** Name of the step in error messages, in the form `part.action`. */
  readonly step: string;
  /** IP address and port. */
  readonly address: string;
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: Buffer;
  /** Agent whose connections are reused; defaults to Node.js's global agent. */
  readonly agent?: Agent;
  readonly timeoutMilliseconds: number;
}
