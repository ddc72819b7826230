import type { ReleaseNote } from '@basilcourse/shared-state/release-note/release-note';

import type { ConfigurationView } from './configuration-view.js';

interface NamedItem {
  readonly name: string;
}

function compare(
  kind: string,
  inForce: readonly NamedItem[],
  noted: readonly NamedItem[],
): readonly string[] {
  const inForceByName = new Map(inForce.map(entry => [entry.name, entry]));
  return noted.flatMap(entry => {
    const current = inForceByName.get(entry.name);
    if (current === undefined) {
      return [`+ ${kind} ${entry.name}`];
    }
    const same = JSON.stringify(current) === JSON.stringify(entry);
    return same ? [] : [`~ ${kind} ${entry.name}`];
  });
}

/** Lists what a note would add (+), change (~) and withdraw (-). */
export function noteDifference(
  inForce: ConfigurationView,
  note: ReleaseNote,
): readonly string[] {
  const limitsChange =
    note.limits !== undefined &&
    JSON.stringify(note.limits) !== JSON.stringify(inForce.limits);
  return [
    ...(limitsChange ? ['~ limits'] : []),
    ...compare('team', inForce.teams, note.teams),
    ...compare('service', inForce.services, note.services),
    ...compare('job', inForce.jobs, note.jobs),
    ...note.withdrawn.map(name => `- ${name}`),
    ...note.drained.map(worker => `~ worker ${worker}: drained`),
    ...note.restored.map(worker => `~ worker ${worker}: restored`),
  ];
}
