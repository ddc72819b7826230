import type { Static, TSchema } from '@sinclair/typebox';
import { TypeCompiler } from '@sinclair/typebox/compiler';

import { applyReleaseNote } from '../configuration/apply-release-note.js';
import type { ConfigurationState } from '../configuration/configuration-state.js';
import { DecisionsBodySchema } from '../records/decision.js';
import type { EntryBody } from '../records/entry-body.js';
import { EntryBodySchema } from '../records/entry-body.js';
import {
  LeaseClaimBodySchema,
  LeaseHolderBodySchema,
} from '../records/lease-body.js';
import type { ReleaseNoteBody } from '../records/release-note-body.js';
import { ReleaseNoteBodySchema } from '../records/release-note-body.js';
import type { ReleaseNote } from '../release-note/release-note.js';
import type { SchedulingState } from '../scheduling/scheduling-state.js';
import { jobTask } from '../scheduling/task-names.js';
import { applyDecisions } from './apply-decisions.js';
import { claimLease, releaseLease, renewLease } from './apply-lease.js';
import type { FoldContext } from './fold-context.js';
import type { HandlerResult } from './handler-result.js';
import { shouldKeepProgress } from './should-keep-progress.js';

/** Handles the records of one kind. */
export type RecordHandler = (context: FoldContext) => HandlerResult;

const MALFORMED: HandlerResult = { reason: 'malformed body' };

const APPLIED: HandlerResult = { reason: '' };

function withBodyCheck<Schema extends TSchema>(
  schema: Schema,
  handle: (context: FoldContext, body: Static<Schema>) => HandlerResult,
): RecordHandler {
  const compiled = TypeCompiler.Compile(schema);
  return context => {
    const { body } = context.record.envelope;
    return compiled.Check(body) ? handle(context, body) : MALFORMED;
  };
}

/** Clears the failures of jobs that a note changes, so that they run again. */
function resetChangedJobs(
  scheduling: SchedulingState,
  configuration: ConfigurationState,
  note: ReleaseNote,
): void {
  for (const { name } of note.jobs) {
    const task = jobTask(name, configuration.jobsSince.get(name) ?? 0);
    const progress = scheduling.tasks.get(task);
    if (progress !== undefined) {
      const withoutFailures = { failures: 0, failedOn: [], unplaceable: '' };
      scheduling.tasks.set(task, { ...progress, ...withoutFailures });
    }
  }
}

function foldReleaseNote(
  { configuration, scheduling, record }: FoldContext,
  body: ReleaseNoteBody,
): HandlerResult {
  const { id } = record.envelope;
  const { offset } = record;
  const note = applyReleaseNote(configuration, id, offset, body.text);
  if (note !== undefined) {
    resetChangedJobs(scheduling, configuration, note);
  }
  for (const { task, active } of scheduling.tasks.values()) {
    if (active === '' && !shouldKeepProgress({ configuration }, task)) {
      scheduling.tasks.delete(task);
    }
  }
  return APPLIED;
}

function foldEntryJoined(
  { configuration, record }: FoldContext,
  body: EntryBody,
): HandlerResult {
  const joinedAt = record.envelope.writtenAt;
  configuration.entries.set(body.instance, { ...body, joinedAt, leftAt: 0 });
  return APPLIED;
}

function foldEntryLeft(
  { configuration, record }: FoldContext,
  body: EntryBody,
): HandlerResult {
  const entry = configuration.entries.get(body.instance);
  if (entry === undefined) {
    return { reason: 'unknown entry' };
  }
  const leftAt = record.envelope.writtenAt;
  const claimMemoryMilliseconds =
    configuration.limits.claimMemorySeconds * 1000;
  configuration.entries.set(body.instance, { ...entry, leftAt });
  for (const [instance, other] of configuration.entries) {
    // Twice the time that keys are kept allows for differences between clocks.
    if (
      other.leftAt > 0 &&
      other.leftAt + 2 * claimMemoryMilliseconds < leftAt
    ) {
      configuration.entries.delete(instance);
    }
  }
  return APPLIED;
}

/** Handlers by kind of record; a kind without a handler is skipped. */
export const recordHandlers: ReadonlyMap<string, RecordHandler> = new Map(
  Object.entries({
    'release-note': withBodyCheck(ReleaseNoteBodySchema, foldReleaseNote),
    'entry-joined': withBodyCheck(EntryBodySchema, foldEntryJoined),
    'entry-left': withBodyCheck(EntryBodySchema, foldEntryLeft),
    'lease-claim': withBodyCheck(LeaseClaimBodySchema, claimLease),
    'lease-renewal': withBodyCheck(LeaseHolderBodySchema, renewLease),
    'lease-release': withBodyCheck(LeaseHolderBodySchema, releaseLease),
    decisions: withBodyCheck(DecisionsBodySchema, applyDecisions),
  }),
);
