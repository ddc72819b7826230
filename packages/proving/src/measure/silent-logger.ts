import type { PartLogger } from '@basilcourse/foundation/logging/part-logger';

/** Logger of a measurement, which writes nothing. */
export const silentLogger: PartLogger = {
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};
