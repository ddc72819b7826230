import bunyan from 'bunyan';

import { LineBudget } from './line-budget.js';
import { LineWriter } from './line-writer.js';
import type { LogFields } from './log-fields.js';
import type { PartLogger } from './part-logger.js';

/** Level below which nothing is written. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error' | 'fatal';

/** Lines of one sentence of one part in a second. */
const LINES_PER_SECOND = 500;

const STANDARD_OUTPUT = 1;

/**
 * Creates the logger factory of a process; each part gets its own prefix.
 * Lines go to standard output and never block the process.
 *
 * @param onLine - Called with the sentence of each line, written or left out.
 */
export function createLogger(
  process: string,
  level: LogLevel,
  onLine: (sentence: string) => void = () => undefined,
): (part: string) => PartLogger {
  const writer = new LineWriter(STANDARD_OUTPUT);
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
  const budget = new LineBudget(LINES_PER_SECOND);
  let droppedBefore = 0;
  globalThis.process.once('exit', () => {
    writer.flush();
  });

  function tellLosses(): void {
    for (const { kind, count } of budget.advance(performance.now())) {
      root.warn({ kind, count }, '[logger] Lines were left out.');
    }
    const dropped = writer.dropped - droppedBefore;
    if (dropped > 0) {
      droppedBefore = writer.dropped;
      root.warn({ dropped }, '[logger] Lines were dropped, as nobody read.');
    }
  }

  function log(
    at: 'info' | 'warn' | 'error',
    sentence: string,
    fields: LogFields,
  ): void {
    onLine(sentence);
    tellLosses();
    if (budget.admit(sentence)) {
      root[at](fields, sentence);
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
