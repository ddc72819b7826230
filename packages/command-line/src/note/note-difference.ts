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
  const inForceByName = new Map(inForce.map(item => [item.name, item]));
  return noted.flatMap(item => {
    const current = inForceByName.get(item.name);
    if (current === undefined) {
      return [`+ ${kind} ${item.name}`];
    }
    const same = JSON.stringify(current) === JSON.stringify(item);
    return same ? [] : [`~ ${kind} ${item.name}`];
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
