import { BoundedMap } from '@basilcourse/foundation/util/bounded-map';
import type { FoldOutcome } from '@basilcourse/shared-state/fold/fold-outcome';
import type { Decision } from '@basilcourse/shared-state/records/decision';

import type { ExplainedDecision } from './explained-decision.js';

/** Maximum number of subjects whose decisions are kept. */
const MAXIMUM_SUBJECTS = 5000;

/** Maximum number of decisions kept for one subject. */
const DECISIONS_PER_SUBJECT = 12;

function subjectsOf(decision: Decision): readonly string[] {
  switch (decision.type) {
    case 'place':
      return [decision.task, decision.worker];
    case 'forward':
    case 'report-unplaceable':
      return [decision.task];
    case 'evict':
    case 'lose':
    case 'recover':
    case 'end':
      return [decision.attemptId.slice(0, decision.attemptId.lastIndexOf('#'))];
    case 'worker-join':
      return [decision.description.worker];
    case 'worker-leave':
    case 'worker-condition':
      return [decision.worker];
  }
}

/** The most recent decisions about each task and worker, with their reasons. */
export class DecisionHistory {
  private readonly bySubject = new BoundedMap<readonly ExplainedDecision[]>(
    MAXIMUM_SUBJECTS,
  );

  public record(outcome: FoldOutcome): void {
    for (const decision of outcome.decisions) {
      this.add(outcome, decision, '');
    }
    for (const { decision, reason } of outcome.voidDecisions) {
      this.add(outcome, decision, reason);
    }
  }

  /** Decisions about a subject, oldest first. */
  public of(subject: string): readonly ExplainedDecision[] {
    return this.bySubject.get(subject) ?? [];
  }

  private add(
    { record }: FoldOutcome,
    decision: Decision,
    voidBecause: string,
  ): void {
    const explained = {
      offset: record.offset,
      at: record.envelope.writtenAt,
      by: record.envelope.writer,
      decision,
      voidBecause,
    };
    for (const subject of subjectsOf(decision)) {
      const recorded = this.of(subject);
      const kept = [...recorded, explained].slice(-DECISIONS_PER_SUBJECT);
      this.bySubject.set(subject, kept);
    }
  }
}
