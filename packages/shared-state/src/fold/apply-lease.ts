import type { LeaseClaimBody, LeaseHolderBody } from '../records/lease-body.js';
import type { Cell } from '../scheduling/cell.js';
import type { FoldContext } from './fold-context.js';
import type { HandlerResult } from './handler-result.js';

function cellOf(context: FoldContext, name: string): Cell {
  const unclaimed = {
    name,
    epoch: 0,
    holder: '',
    renewals: 0,
    cleanHandover: true,
  };
  return context.scheduling.cells.get(name) ?? unclaimed;
}

function isHeldBy(cell: Cell, body: LeaseHolderBody, writer: string): boolean {
  return cell.epoch === body.epoch && cell.holder === writer;
}

/**
 * Accepts a claim if no other claim, renewal or release was applied between the
 * claimant's read of the cell and this record.
 */
export function claimLease(
  context: FoldContext,
  body: LeaseClaimBody,
): HandlerResult {
  const cell = cellOf(context, body.cell);
  const unchanged =
    cell.epoch === body.previousEpoch &&
    cell.renewals === body.previousRenewals;
  if (!unchanged) {
    return { reason: `the lease of ${body.cell} changed meanwhile` };
  }
  context.scheduling.cells.set(body.cell, {
    name: body.cell,
    epoch: cell.epoch + 1,
    holder: body.holder,
    renewals: 0,
    cleanHandover: cell.holder === '',
  });
  return { reason: '' };
}

/** Counts a renewal by the current holder. */
export function renewLease(
  context: FoldContext,
  body: LeaseHolderBody,
): HandlerResult {
  const cell = cellOf(context, body.cell);
  if (!isHeldBy(cell, body, context.record.envelope.writer)) {
    return { reason: `epoch ${body.epoch} of ${body.cell} is over` };
  }
  const renewals = cell.renewals + 1;
  context.scheduling.cells.set(body.cell, { ...cell, renewals });
  return { reason: '' };
}

/** Releases the lease on behalf of its current holder. */
export function releaseLease(
  context: FoldContext,
  body: LeaseHolderBody,
): HandlerResult {
  const cell = cellOf(context, body.cell);
  if (!isHeldBy(cell, body, context.record.envelope.writer)) {
    return { reason: `epoch ${body.epoch} of ${body.cell} is over` };
  }
  const renewals = cell.renewals + 1;
  context.scheduling.cells.set(body.cell, { ...cell, holder: '', renewals });
  return { reason: '' };
}
