import type { Problem } from './problem.js';

/** Formats a problem as one line for an operator. */
export function formatProblem(file: string, problem: Problem): string {
  const location = `${file}:${problem.line} [${problem.section}] ${problem.key}`;
  const nearest =
    problem.nearest === undefined ? '' : ` (nearest: ${problem.nearest})`;
  return `${location}: found ${problem.found}; allowed: ${problem.allowed}${nearest}`;
}
