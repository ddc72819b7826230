import type { ImageStatistics } from '@basilcourse/jobs/interference/image-statistics';
import type { AgentReport } from '@basilcourse/jobs/model/agent-report';

/** What an agent sends to the leader, one message a line. */
export type AgentMessage =
  | { readonly kind: 'beat'; readonly sentAt: number }
  | {
      /** Given back to a new leader, as the last one told it. */
      readonly kind: 'images';
      readonly sentAt: number;
      readonly images: ImageStatistics;
    }
  | {
      readonly kind: 'report';
      /** The agent's steady clock when it sent this. */
      readonly sentAt: number;
      readonly report: AgentReport;
    };
