/** Next action of a candidate for a cell's lease. */
export type LeaseAction = 'claim' | 'renew' | 'wait';
