import { messageOf } from '@basilcourse/foundation/errors/message-of';
import type { PartLogger } from '@basilcourse/foundation/logging/part-logger';

import type { StoredValue } from '../store/stored-value.js';
import type { InterferenceWatch } from './interference-watch.js';
import { ESTIMATES_KEY } from './record-keys.js';
import type { StoredEstimates } from './stored-estimates.js';

/** Adopts the stored estimates, if there are any that can be read. */
export function loadEstimates(
  interference: InterferenceWatch,
  values: readonly StoredValue[],
  logger: PartLogger,
): void {
  const stored = values.find(({ key }) => key === ESTIMATES_KEY)?.value;
  if (stored === undefined) {
    return;
  }
  try {
    interference.restore(JSON.parse(stored) as StoredEstimates);
  } catch (error) {
    logger.error('A stored record could not be read.', {
      key: ESTIMATES_KEY,
      reason: messageOf(error),
    });
  }
}
