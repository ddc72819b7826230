import { randomUUID } from 'node:crypto';

import type { IdentifierSource } from './identifier-source.js';

/** Generates random UUIDs, which are unique across processes. */
export const randomIdentifiers: IdentifierSource = {
  next: prefix => `${prefix}-${randomUUID()}`,
};
