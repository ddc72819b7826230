import type { FieldDefinition } from '@basilcourse/foundation/settings/field-definition';
import type { SectionDefinition } from '@basilcourse/foundation/settings/section-definition';

import { limitsSection } from './limits-section.js';

function resourceFields(
  fallbackAccelerators: string,
): readonly FieldDefinition[] {
  return [
    {
      key: 'processors',
      kind: 'number',
      description: 'Processors in cores.',
      maximum: 100_000,
    },
    {
      key: 'memory-gigabytes',
      kind: 'number',
      description: 'Memory in gigabytes.',
      maximum: 1_000_000,
    },
    {
      key: 'accelerators',
      kind: 'whole-number',
      description: 'Accelerators.',
      fallback: fallbackAccelerators,
      maximum: 10_000,
    },
  ];
}

const noteSection: SectionDefinition = {
  kind: 'note',
  named: false,
  required: true,
  description: 'Names the note and the revision that it is based on.',
  fields: [
    { key: 'name', kind: 'name', description: 'Name of the note.' },
    { key: 'operator', kind: 'name', description: 'Who publishes it.' },
    {
      key: 'based-on',
      kind: 'whole-number',
      description: 'Revision in force when the note was written.',
    },
    {
      key: 'description',
      kind: 'text',
      description: 'What the note is for.',
      fallback: '',
    },
  ],
};

const shapeSection: SectionDefinition = {
  kind: 'shape',
  named: true,
  required: false,
  description: 'A size of worker; jobs that fit no shape are refused.',
  fields: resourceFields('0'),
};

const teamSection: SectionDefinition = {
  kind: 'team',
  named: true,
  required: false,
  description: 'A team and its quota.',
  fields: [
    ...resourceFields('0'),
    {
      key: 'weight',
      kind: 'number',
      description: 'Weight of the share of requests and of borrowed room.',
      fallback: '1',
      minimum: 0.01,
      maximum: 1000,
    },
  ],
};

const teamField: FieldDefinition = {
  key: 'team',
  kind: 'name',
  description: 'Team whose quota counts.',
};

const taskKindField: FieldDefinition = {
  key: 'task-kind',
  kind: 'name',
  description: 'Kind under which usage and interference are learned.',
};

const serviceSection: SectionDefinition = {
  kind: 'service',
  named: true,
  required: false,
  description: 'A latency-critical service.',
  fields: [
    teamField,
    taskKindField,
    ...resourceFields('0'),
    {
      key: 'minions',
      kind: 'whole-number',
      description: 'Upstream processes that shall run.',
      minimum: 1,
      maximum: 10_000,
    },
    {
      key: 'slots',
      kind: 'whole-number',
      description: 'Requests that one minion runs at once.',
      fallback: '8',
      minimum: 1,
      maximum: 1024,
    },
    {
      key: 'connections',
      kind: 'whole-number',
      description: 'Connections that one minion accepts.',
      fallback: '64',
      minimum: 1,
      maximum: 65_536,
    },
    {
      key: 'timeout-milliseconds',
      kind: 'whole-number',
      description: 'Deadline of requests that name none.',
      fallback: '2000',
      minimum: 1,
      maximum: 600_000,
    },
    {
      key: 'target-milliseconds',
      kind: 'whole-number',
      description: 'Largest wanted 99th percentile of the service time.',
      fallback: '100',
      minimum: 1,
      maximum: 600_000,
    },
  ],
};

const jobSection: SectionDefinition = {
  kind: 'job',
  named: true,
  required: false,
  description: 'A batch job.',
  fields: [
    teamField,
    taskKindField,
    ...resourceFields('0'),
    {
      key: 'declared-seconds',
      kind: 'whole-number',
      description: 'Declared run time; only a hint.',
      fallback: '600',
      maximum: 10_000_000,
    },
    {
      key: 'urgent',
      kind: 'boolean',
      description: 'Starts within seconds, by preemption if need be.',
      fallback: 'false',
    },
    {
      key: 'after',
      kind: 'list',
      description: 'Jobs that must have finished before.',
      fallback: '',
    },
  ],
};

function reasonOnlySection(
  kind: string,
  description: string,
): SectionDefinition {
  const field: FieldDefinition = {
    key: 'reason',
    kind: 'text',
    description: 'Why; shown on the time line.',
    fallback: '',
  };
  return { kind, named: true, required: false, description, fields: [field] };
}

/** Sections of a release note. */
export const releaseNoteFormat: readonly SectionDefinition[] = [
  noteSection,
  limitsSection,
  shapeSection,
  teamSection,
  serviceSection,
  jobSection,
  reasonOnlySection('withdraw-service', 'Withdraws a service.'),
  reasonOnlySection('withdraw-job', 'Withdraws or cancels a job.'),
  reasonOnlySection('drain', 'Empties a worker gracefully.'),
  reasonOnlySection('restore', 'Takes a drained worker back into use.'),
];
