import type { EventKind } from '@basilcourse/foundation/events/event-kind';
import type { EventSubject } from '@basilcourse/foundation/events/event-subject';
import type { Decision } from '@basilcourse/shared-state/records/decision';

/** A decision as an event of the time line. */
interface DescribedDecision {
  readonly kind: EventKind;
  readonly text: string;
  readonly subject: EventSubject;
}

const eventKindByCondition = {
  ready: 'worker-joined',
  probation: 'worker-probation',
  unreachable: 'worker-unreachable',
} as const;

function taskOf(attemptId: string): string {
  return attemptId.slice(0, attemptId.lastIndexOf('#'));
}

/** Describes a decision as an event; undefined for one that has no event. */
export function describeDecision(
  decision: Decision,
): DescribedDecision | undefined {
  switch (decision.type) {
    case 'place': {
      const { task, attempt, worker, reason } = decision;
      const text = `${task}#${attempt} goes to ${worker}: ${reason}.`;
      return { kind: 'attempt-placed', text, subject: { job: task, worker } };
    }
    case 'evict': {
      const { attemptId, reason } = decision;
      const text = `${attemptId} is evicted: ${reason}.`;
      const subject = { job: taskOf(attemptId) };
      return { kind: 'attempt-evicting', text, subject };
    }
    case 'lose': {
      const { attemptId, reason } = decision;
      const text = `${attemptId} is out of reach: ${reason}.`;
      const subject = { job: taskOf(attemptId) };
      return { kind: 'worker-unreachable', text, subject };
    }
    case 'end': {
      const { attemptId, outcome, reason } = decision;
      const text = `${attemptId} ended: ${outcome}. ${reason}`;
      const subject = { job: taskOf(attemptId) };
      return { kind: 'attempt-ended', text, subject };
    }
    case 'worker-join': {
      const { worker, address } = decision.description;
      const text = `${worker} at ${address} takes tasks.`;
      return { kind: 'worker-joined', text, subject: { worker } };
    }
    case 'worker-condition': {
      const { worker, condition, reason } = decision;
      const text = `${worker} is ${condition}: ${reason}.`;
      return {
        kind: eventKindByCondition[condition],
        text,
        subject: { worker },
      };
    }
    case 'worker-leave': {
      const { worker, reason } = decision;
      const text = `${worker} is removed: ${reason}.`;
      return { kind: 'worker-unreachable', text, subject: { worker } };
    }
    case 'report-unplaceable': {
      const { task, reason } = decision;
      const text = `${task} cannot run: ${reason}.`;
      return { kind: 'job-unplaceable', text, subject: { job: task } };
    }
    case 'forward': {
      const { task, cell } = decision;
      const text = `${task} waits for cell ${cell}.`;
      return { kind: 'job-waiting', text, subject: { job: task } };
    }
    case 'recover':
      return undefined;
  }
}
