import type { AgentReport } from '@basilcourse/jobs/model/agent-report';

/** What an agent sends to the leader, one message a line. */
export type AgentMessage =
  | { readonly kind: 'beat'; readonly sentAt: number }
  | {
      readonly kind: 'report';
      /** The agent's steady clock when it sent this. */
      readonly sentAt: number;
      readonly report: AgentReport;
    };
