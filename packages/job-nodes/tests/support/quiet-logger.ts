import type { PartLogger } from '@basilcourse/foundation/logging/part-logger';

/** Writes nothing. */
export const quietLogger: PartLogger = {
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};
