import bunyan from 'bunyan';

import { LineBudget } from './line-budget.js';
import { LineWriter } from './line-writer.js';
import type { LogFields } from './log-fields.js';
import type { PartLogger } from './part-logger.js';

/** Minimum level of the lines that are written. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error' | 'fatal';

/**
 * Limit for the same sentence of the same part; further lines are left out and
 * counted.
 */
const MAXIMUM_LINES_PER_SECOND = 500;

const STANDARD_OUTPUT_DESCRIPTOR = 1;

/**
 * Creates a function that returns the logger of a part of the process; the name
 * of the part is the prefix of its lines. Lines are written to standard output
 * and never block the process.
 *
 * @param onLine - Called with the sentence of each line, including lines that
 * are left out.
 */
export function createLogger(
  process: string,
  level: LogLevel,
  onLine: (sentence: string) => void = () => undefined,
): (part: string) => PartLogger {
  const writer = new LineWriter(STANDARD_OUTPUT_DESCRIPTOR);
  const stream = {
    write: (line: unknown) => {
      writer.write(String(line));
    },
  };
  const root = bunyan.createLogger({
    name: 'basilcourse',
    process,
    streams: [{ level, stream }],
  });
  const budget = new LineBudget(MAXIMUM_LINES_PER_SECOND);
  let reportedDropped = 0;
  globalThis.process.once('exit', () => {
    writer.flush();
  });

  function reportLostLines(): void {
    for (const { kind, count } of budget.advance(performance.now())) {
      root.warn({ kind, count }, '[logger] Lines were left out.');
    }
    const dropped = writer.dropped - reportedDropped;
    if (dropped > 0) {
      reportedDropped = writer.dropped;
      root.warn({ dropped }, '[logger] Lines were dropped, as nobody read.');
    }
  }

  function log(
    severity: 'info' | 'warn' | 'error',
    sentence: string,
    fields: LogFields,
  ): void {
    onLine(sentence);
    reportLostLines();
    if (budget.admit(sentence)) {
      root[severity](fields, sentence);
    }
  }

  return part => ({
    info: (sentence, fields = {}) => {
      log('info', `[${part}] ${sentence}`, fields);
    },
    warn: (sentence, fields = {}) => {
      log('warn', `[${part}] ${sentence}`, fields);
    },
    error: (sentence, fields = {}) => {
      log('error', `[${part}] ${sentence}`, fields);
    },
  });
}
