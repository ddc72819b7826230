import type { PartLogger } from '@basilcourse/foundation/logging/part-logger';

/** Callbacks of the tracker. */
export interface MinionTrackerOptions {
  readonly logger: PartLogger;
  /** Called when the present incarnation has ended, before another follows. */
  readonly onEnd: () => void;
  /** Called when there is another state to report. */
  readonly onChange: () => void;
}
