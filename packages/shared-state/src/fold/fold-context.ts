import type { ConfigurationState } from '../configuration/configuration-state.js';
import type { StoredRecord } from '../log/stored-record.js';
import type { SchedulingState } from '../scheduling/scheduling-state.js';

/** State that a handler of the fold may change, and the record to apply. */
export interface FoldContext {
  readonly configuration: ConfigurationState;
  readonly scheduling: SchedulingState;
  readonly record: StoredRecord;
}
