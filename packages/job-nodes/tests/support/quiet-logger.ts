import type { PartLogger } from '@basilcourse/foundation/logging/part-logger';

/** Discards all messages. */
export const quietLogger: PartLogger = {
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};
