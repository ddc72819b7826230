import type { Decision } from '@basilcourse/shared-state/records/decision';

/** Returns a key that is equal for repeated proposals of the same decision. */
export function decisionKey(decision: Decision): string {
  switch (decision.type) {
    case 'place':
    case 'forward':
    case 'report-unplaceable':
      return `${decision.type} ${decision.task}`;
    case 'evict':
    case 'lose':
    case 'recover':
    case 'end':
      return `${decision.type} ${decision.attemptId}`;
    case 'worker-join':
      return `${decision.type} ${decision.description.worker}`;
    case 'worker-leave':
    case 'worker-condition':
      return `${decision.type} ${decision.worker}`;
  }
}
