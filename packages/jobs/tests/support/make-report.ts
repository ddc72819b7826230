import type { AgentReport } from '../../src/model/agent-report.js';

/** Returns a report without runs, with some fields replaced. */
export function makeReport(fields: Partial<AgentReport> = {}): AgentReport {
  return {
    fencingToken: 1,
    minion: null,
    running: [],
    ends: [],
    refusals: [],
    gone: [],
    ...fields,
  };
}
