import type { FoldOutcome } from '@basilcourse/shared-state/fold/fold-outcome';
import type { Decision } from '@basilcourse/shared-state/records/decision';

import type { DecisionHistory } from '../operators/decision-history.js';
import { describeDecision } from './describe-decision.js';
import type { NodeCore } from './node-core.js';

function recordVerdict(core: NodeCore, outcome: FoldOutcome): void {
  const { id, kind } = outcome.record.envelope;
  const verdict = core.state.fold.configuration.verdicts.get(id);
  if (kind !== 'release-note' || verdict === undefined || !outcome.applied) {
    return;
  }
  if (verdict.accepted) {
    const text = `Note ${verdict.name} is in force as revision ${verdict.revision}.`;
    core.events.record('note-in-force', text);
  } else {
    const text = `Note ${verdict.name} was rejected: ${verdict.reasons.join('; ')}`;
    core.events.record('note-rejected', text);
  }
}

function recordDecision(core: NodeCore, decision: Decision): void {
  const described = describeDecision(decision);
  if (described !== undefined) {
    core.events.record(described.kind, described.text, described.subject);
  }
}

/** Records outcomes of log records as events and in the decision history. */
export function recordOutcomes(core: NodeCore, history: DecisionHistory): void {
  core.state.onOutcome(outcome => {
    recordVerdict(core, outcome);
    history.record(outcome);
    // Only the process that decided records the event, so that the time line
    // shows each decision once.
    if (outcome.record.envelope.writer === core.instance) {
      for (const decision of outcome.decisions) {
        recordDecision(core, decision);
      }
    }
  });
}
