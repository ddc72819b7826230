import type { LogFields } from './log-fields.js';

/**
 * The logger of one part of a process. Messages are short sentences; variable
 * values are passed as fields.
 */
export interface PartLogger {
  readonly info: (sentence: string, fields?: LogFields) => void;
  readonly warn: (sentence: string, fields?: LogFields) => void;
  readonly error: (sentence: string, fields?: LogFields) => void;
}
