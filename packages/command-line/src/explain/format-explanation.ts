import { formatTable } from '../format/format-table.js';
import type { ExplanationView } from './explanation-view.js';

function formatDecision(decision: Readonly<Record<string, unknown>>): string {
  const subjects = [
    'task',
    'attemptId',
    'worker',
    'condition',
    'outcome',
    'cell',
  ]
    .flatMap(key => {
      const value = decision[key];
      return typeof value === 'string' ? [value] : [];
    })
    .join(' ');
  const { type, reason } = decision;
  const because = typeof reason === 'string' && reason !== '' ? reason : '';
  return [String(type), subjects, because]
    .filter(text => text !== '')
    .join(': ');
}

/** Formats the decisions about a subject as text. */
export function formatExplanation(view: ExplanationView): string {
  const tasks = view.tasks.map(task => {
    const state = task.finished ? 'finished' : task.lastOutcome;
    const why = task.unplaceable || task.lastReason;
    const counts = `${task.attempts} attempts, ${task.evictions} evictions, ${task.failures} failures`;
    return `${task.task}: ${state}, ${counts}${why === '' ? '' : `; ${why}`}`;
  });
  const attempts = view.attempts.map(
    ({ id, worker, state, reason }) => `${id} ${state} on ${worker}: ${reason}`,
  );
  const decisions = formatTable([
    ['time', 'offset', 'decided by', 'decision'],
    ...view.decisions.map(explained => [
      new Date(explained.at).toISOString(),
      String(explained.offset),
      explained.by,
      explained.voidBecause === ''
        ? formatDecision(explained.decision)
        : `${formatDecision(explained.decision)} (void: ${explained.voidBecause})`,
    ]),
  ]);
  return [...tasks, ...attempts, '', decisions].join('\n');
}
