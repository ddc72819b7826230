import type { Decision, DecisionsBody } from '../records/decision.js';
import type { DecisionContext } from './decision-context.js';
import { decisionHandlers } from './decision-handlers.js';
import type { FoldContext } from './fold-context.js';
import type { HandlerResult } from './handler-result.js';
import type { VoidDecision } from './void-decision.js';

function handle(context: DecisionContext, decision: Decision): string {
  const handler = decisionHandlers[decision.type] as (
    context: DecisionContext,
    decision: Decision,
  ) => string;
  return handler(context, decision);
}

/**
 * Applies a lease holder's decisions; they are void once its epoch has ended.
 */
export function applyDecisions(
  fold: FoldContext,
  body: DecisionsBody,
): HandlerResult {
  const cell = fold.scheduling.cells.get(body.cell);
  const { writer } = fold.record.envelope;
  if (cell?.epoch !== body.epoch || cell.holder !== writer) {
    return { reason: `epoch ${body.epoch} of ${body.cell} is over` };
  }
  const context = { fold, cell: body.cell, epoch: body.epoch };
  const decisions: Decision[] = [];
  const voidDecisions: VoidDecision[] = [];
  for (const decision of body.decisions) {
    const reason = handle(context, decision);
    if (reason === '') {
      decisions.push(decision);
    } else {
      voidDecisions.push({ decision, reason });
    }
  }
  return { reason: '', decisions, voidDecisions };
}
