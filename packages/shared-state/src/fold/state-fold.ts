import { TypeCompiler } from '@sinclair/typebox/compiler';

import type { Configuration } from '../configuration/configuration.js';
import { ConfigurationState } from '../configuration/configuration-state.js';
import { RecordEnvelopeSchema } from '../log/record-envelope.js';
import type { StoredRecord } from '../log/stored-record.js';
import { CONFIGURATION_KINDS } from '../records/record-kinds.js';
import type { Scheduling } from '../scheduling/scheduling.js';
import { SchedulingState } from '../scheduling/scheduling-state.js';
import type { FoldOutcome } from './fold-outcome.js';
import { RecentIdentifiers } from './recent-identifiers.js';
import { recordHandlers } from './record-handlers.js';

const envelopeCheck = TypeCompiler.Compile(RecordEnvelopeSchema);

/**
 * State as a function of the records of the log in offset order.
 *
 * Two folds that applied the same records hold the same state; offsets below
 * `next` are ignored, so the state never moves backwards.
 */
export class StateFold {
  public readonly configurationState: ConfigurationState;

  public readonly schedulingState: SchedulingState;

  public readonly configurationIds: RecentIdentifiers;

  public readonly schedulingIds: RecentIdentifiers;

  private nextOffset: number;

  public constructor(
    next = 0,
    configuration = new ConfigurationState(),
    scheduling = new SchedulingState(),
    configurationIds = new RecentIdentifiers(),
    schedulingIds = new RecentIdentifiers(),
  ) {
    this.nextOffset = next;
    this.configurationState = configuration;
    this.schedulingState = scheduling;
    this.configurationIds = configurationIds;
    this.schedulingIds = schedulingIds;
  }

  /** Offset of the first record that has not been applied. */
  public get next(): number {
    return this.nextOffset;
  }

  public get configuration(): Configuration {
    return this.configurationState;
  }

  public get scheduling(): Scheduling {
    return this.schedulingState;
  }

  /** Returns whether a record with the identifier was applied. */
  public hasApplied(identifier: string): boolean {
    return (
      this.configurationIds.has(identifier) ||
      this.schedulingIds.has(identifier)
    );
  }

  /** Skips offsets whose records this process does not fold. */
  public skipTo(next: number): void {
    this.nextOffset = Math.max(this.nextOffset, next);
  }

  /** Applies one record; undefined when its offset is below `next`. */
  public apply(record: StoredRecord): FoldOutcome | undefined {
    if (record.offset < this.nextOffset) {
      return undefined;
    }
    this.nextOffset = record.offset + 1;
    const reason = this.reasonToIgnore(record);
    if (reason !== '') {
      return this.outcomeOf(record, { reason });
    }
    const handler = recordHandlers.get(record.envelope.kind);
    if (handler === undefined) {
      return this.outcomeOf(record, { reason: 'unknown kind' });
    }
    const result = handler({
      configuration: this.configurationState,
      scheduling: this.schedulingState,
      record,
    });
    return this.outcomeOf(record, result);
  }

  private reasonToIgnore(record: StoredRecord): string {
    if (!envelopeCheck.Check(record.envelope)) {
      return 'malformed record';
    }
    const { id, kind } = record.envelope;
    const identifiers = CONFIGURATION_KINDS.has(kind)
      ? this.configurationIds
      : this.schedulingIds;
    return identifiers.add(id) ? '' : 'repeated record';
  }

  private outcomeOf(
    record: StoredRecord,
    result: Pick<FoldOutcome, 'reason'> & Partial<FoldOutcome>,
  ): FoldOutcome {
    return {
      record,
      applied: result.reason === '',
      reason: result.reason,
      decisions: result.decisions ?? [],
      voidDecisions: result.voidDecisions ?? [],
    };
  }
}
