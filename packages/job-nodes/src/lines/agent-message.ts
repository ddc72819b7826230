import type { ImageStatistics } from '@basilcourse/jobs/interference/image-statistics';
import type { AgentReport } from '@basilcourse/jobs/model/agent-report';

import type { ReportDelta } from './report-delta.js';

/** Message from an agent to the leader, sent as one line of JSON. */
export type AgentMessage =
  | { readonly kind: 'beat'; readonly sentAt: number }
  | {
      /** Returns to a new leader the statistics that the last one sent. */
      readonly kind: 'images';
      readonly sentAt: number;
      readonly images: ImageStatistics;
    }
  | {
      readonly kind: 'report';
      /** The agent's monotonic clock at the time of sending. */
      readonly sentAt: number;
      readonly report: AgentReport;
    }
  | {
      /** A report to a leader whose welcome said that it reads such ones. */
      readonly kind: 'delta';
      /** The agent's monotonic clock at the time of sending. */
      readonly sentAt: number;
      readonly delta: ReportDelta;
    };
