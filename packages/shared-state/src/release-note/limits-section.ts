import type { SectionDefinition } from '@basilcourse/foundation/settings/section-definition';

/** Section `[limits]` of a release note. */
export const limitsSection: SectionDefinition = {
  kind: 'limits',
  named: false,
  required: false,
  description: 'Limits and weights of the whole deployment.',
  fields: [
    {
      key: 'latency-weight',
      kind: 'number',
      description: 'Weight of tail latency against batch throughput.',
      fallback: '0.5',
      maximum: 1,
    },
    {
      key: 'task-lease-seconds',
      kind: 'whole-number',
      description: 'Lease of a task at its worker.',
      fallback: '10',
      minimum: 1,
      maximum: 3600,
    },
    {
      key: 'store-outage-seconds',
      kind: 'whole-number',
      description: 'How long tasks go on without the log.',
      fallback: '1800',
      minimum: 1,
      maximum: 86_400,
    },
    {
      key: 'cell-lease-milliseconds',
      kind: 'whole-number',
      description: 'Lease of the process that decides for a cell.',
      fallback: '2500',
      minimum: 200,
      maximum: 60_000,
    },
    {
      key: 'cells-per-region',
      kind: 'whole-number',
      description: 'Shards of the workers of a region.',
      fallback: '1',
      minimum: 1,
      maximum: 64,
    },
    {
      key: 'probation-share',
      kind: 'number',
      description: 'Largest share of workers on probation at once.',
      fallback: '0.2',
      maximum: 1,
    },
    {
      key: 'cross-region-bytes-per-second',
      kind: 'whole-number',
      description: 'Bytes of requests and answers to each other region.',
      fallback: '2000000',
    },
    {
      key: 'claim-memory-seconds',
      kind: 'whole-number',
      description: 'How long an idempotency key is remembered.',
      fallback: '300',
      minimum: 1,
      maximum: 3600,
    },
  ],
};
