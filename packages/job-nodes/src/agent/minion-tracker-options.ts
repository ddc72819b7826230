import type { PartLogger } from '@basilcourse/foundation/logging/part-logger';

import type { MinionIncarnation } from './minion-incarnation.js';

/** Callbacks of the tracker. */
export interface MinionTrackerOptions {
  readonly logger: PartLogger;
  /** Called when the present incarnation has ended, before another follows. */
  readonly onEnd: (minion: MinionIncarnation) => void;
  /** Called when there is another state to report. */
  readonly onChange: () => void;
}
