import type { ReleaseNote } from './release-note.js';

/**
 * Names that a note changes; concurrent notes that change one name conflict.
 */
export function changedNames(note: ReleaseNote): readonly string[] {
  return [
    ...(note.limits === undefined ? [] : ['limits']),
    ...note.shapes.map(shape => `shape ${shape.name}`),
    ...note.teams.map(team => `team ${team.name}`),
    ...note.services.map(service => `service ${service.name}`),
    ...note.jobs.map(job => `job ${job.name}`),
    ...note.withdrawn,
    ...note.drained.map(worker => `worker ${worker}`),
    ...note.restored.map(worker => `worker ${worker}`),
  ];
}
