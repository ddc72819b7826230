import { createHash } from 'node:crypto';

import type { StateFold } from '../fold/state-fold.js';
import { writeConfigurationSnapshot, writeSnapshot } from './snapshot-text.js';

/** SHA-256 of the whole state, hexadecimal. */
export function stateDigest(fold: StateFold): string {
  return createHash('sha256').update(writeSnapshot(fold)).digest('hex');
}

/** SHA-256 of the configuration, hexadecimal; the same on every node. */
export function configurationDigest(fold: StateFold): string {
  const text = writeConfigurationSnapshot(fold);
  return createHash('sha256').update(text).digest('hex');
}
