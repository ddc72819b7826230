import type { LogFields } from './log-fields.js';

/** Logger of one part of a process; writes short sentences. */
export interface PartLogger {
  readonly info: (sentence: string, fields?: LogFields) => void;
  readonly warn: (sentence: string, fields?: LogFields) => void;
  readonly error: (sentence: string, fields?: LogFields) => void;
}
