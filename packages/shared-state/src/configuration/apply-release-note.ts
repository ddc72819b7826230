import { formatProblem } from '@basilcourse/foundation/settings/format-problem';

import { changedNames } from '../release-note/changed-names.js';
import { checkNoteAgainstConfiguration } from '../release-note/check-note-against-configuration.js';
import { parseReleaseNote } from '../release-note/parse-release-note.js';
import type { ParsedNote } from '../release-note/parsed-note.js';
import type { ReleaseNote } from '../release-note/release-note.js';
import type { ConfigurationState } from './configuration-state.js';

/** Maximum number of reasons stored for one rejected note. */
const MAXIMUM_REASONS = 50;

function conflictsOf(
  state: ConfigurationState,
  note: ReleaseNote,
): readonly string[] {
  if (note.basedOn > state.revision) {
    return [`based on revision ${note.basedOn}, which does not exist yet`];
  }
  return changedNames(note).flatMap(name => {
    const change = state.changes.get(name);
    return change !== undefined && change.revision > note.basedOn
      ? [
          `${name} was changed by note ${change.note} in revision ${change.revision}`,
        ]
      : [];
  });
}

function setByName<Named extends { readonly name: string }>(
  target: Map<string, Named>,
  entries: readonly Named[],
): void {
  for (const entry of entries) {
    target.set(entry.name, entry);
  }
}

function withdraw(state: ConfigurationState, name: string): void {
  const [kind, bareName = ''] = name.split(' ');
  if (kind === 'service') {
    state.services.delete(bareName);
  } else {
    state.jobs.delete(bareName);
    state.jobsSince.delete(bareName);
  }
}

function applyAcceptedNote(state: ConfigurationState, note: ReleaseNote): void {
  state.revision += 1;
  state.limits = note.limits ?? state.limits;
  setByName(state.shapes, note.shapes);
  setByName(state.teams, note.teams);
  for (const name of note.withdrawn) {
    withdraw(state, name);
  }
  setByName(state.services, note.services);
  for (const job of note.jobs) {
    if (!state.jobsSince.has(job.name)) {
      state.jobsSince.set(job.name, state.revision);
    }
  }
  setByName(state.jobs, note.jobs);
  for (const worker of note.drained) {
    state.drained.add(worker);
  }
  for (const worker of note.restored) {
    state.drained.delete(worker);
  }
  const change = { revision: state.revision, note: note.name };
  for (const name of changedNames(note)) {
    state.changes.set(name, change);
  }
}

/** Reasons to reject a note in the current state; empty to accept it. */
export function rejectionReasons(
  state: ConfigurationState,
  text: string,
): readonly string[] {
  return rejectionReasonsFor(state, parseReleaseNote(text));
}

function rejectionReasonsFor(
  state: ConfigurationState,
  { note, problems }: ParsedNote,
): readonly string[] {
  if (problems.length > 0) {
    return problems.map(problem => formatProblem('note', problem));
  }
  const conflicts = conflictsOf(state, note);
  if (conflicts.length > 0) {
    return conflicts;
  }
  return checkNoteAgainstConfiguration(state, note).map(problem =>
    formatProblem('note', problem),
  );
}

/** Accepts or rejects the note of one record; returns it when accepted. */
export function applyReleaseNote(
  state: ConfigurationState,
  id: string,
  offset: number,
  text: string,
): ReleaseNote | undefined {
  const parsed = parseReleaseNote(text);
  const { note } = parsed;
  const reasons = rejectionReasonsFor(state, parsed);
  if (reasons.length === 0) {
    applyAcceptedNote(state, note);
  }
  state.addVerdict({
    id,
    name: note.name,
    operator: note.operator,
    offset,
    accepted: reasons.length === 0,
    revision: state.revision,
    reasons: reasons.slice(0, MAXIMUM_REASONS),
    text,
  });
  return reasons.length === 0 ? note : undefined;
}
