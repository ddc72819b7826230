import type { CheckedSection } from './checked-section.js';
import type { Problem } from './problem.js';

/** A checked INI file; valid if it has no problems. */
export interface CheckedFile {
  readonly sections: readonly CheckedSection[];
  readonly problems: readonly Problem[];
}
