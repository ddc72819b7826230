import type { Problem } from '@basilcourse/foundation/settings/problem';

import type { Settings } from './settings.js';

/** Settings of a file, with the problems found in it. */
export interface ParsedSettings {
  readonly settings: Settings;
  readonly problems: readonly Problem[];
}
