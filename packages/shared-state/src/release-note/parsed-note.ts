import type { Problem } from '@basilcourse/foundation/settings/problem';

import type { ReleaseNote } from './release-note.js';

/** A parsed release note with the problems of its text. */
export interface ParsedNote {
  readonly note: ReleaseNote;
  readonly problems: readonly Problem[];
}
