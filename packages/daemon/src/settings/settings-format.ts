import type { SectionDefinition } from '@basilcourse/foundation/settings/section-definition';

/** Sections of a daemon's settings file. */
export const settingsFormat: readonly SectionDefinition[] = [
  {
    kind: 'process',
    named: false,
    required: true,
    description: 'What this process is and where it runs.',
    fields: [
      {
        key: 'name',
        kind: 'name',
        description: 'Name of the process; unique in the deployment.',
      },
      {
        key: 'role',
        kind: 'choice',
        choices: ['entry', 'agent'],
        description: 'Role of the process.',
      },
      { key: 'region', kind: 'name', description: 'Region of the VM.' },
      {
        key: 'availability-zone',
        kind: 'name',
        description: 'Availability zone of the VM.',
      },
      {
        key: 'rack',
        kind: 'name',
        description: 'Rack of the VM.',
        fallback: 'none',
      },
    ],
  },
  {
    kind: 'addresses',
    named: false,
    required: true,
    description: 'Addresses as IP number and port; port 0 takes a free one.',
    fields: [
      {
        key: 'control',
        kind: 'address',
        description: 'Listens for other basilcourse processes.',
      },
      {
        key: 'operators',
        kind: 'address',
        description: 'Listens for operators: metrics, health, events.',
      },
      {
        key: 'callers',
        kind: 'address',
        description: 'An entry listens there for callers.',
        fallback: '127.0.0.1:0',
      },
      {
        key: 'local',
        kind: 'address',
        description: 'An agent listens there for upstreams of its VM.',
        fallback: '127.0.0.1:0',
      },
      { key: 'log', kind: 'address', description: "The platform's log." },
      {
        key: 'entries',
        kind: 'list',
        description: 'Control addresses of some entries, to join by.',
        fallback: '',
      },
    ],
  },
  {
    kind: 'worker',
    named: false,
    required: false,
    description: 'The worker on the same VM; required for an agent.',
    fields: [
      { key: 'name', kind: 'name', description: 'Name of the worker.' },
      { key: 'address', kind: 'address', description: 'Where it answers.' },
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
        fallback: '0',
        maximum: 10_000,
      },
    ],
  },
  {
    kind: 'security',
    named: false,
    required: true,
    description: 'Keys between basilcourse processes.',
    fields: [
      {
        key: 'key',
        kind: 'text',
        description: 'Key that is sent and accepted.',
      },
      {
        key: 'other-key',
        kind: 'text',
        description: 'Key that is accepted besides, for a change of keys.',
        fallback: '',
      },
    ],
  },
  {
    kind: 'behaviour',
    named: false,
    required: false,
    description: 'Choices that operators rarely change.',
    fields: [
      {
        key: 'routing',
        kind: 'choice',
        choices: ['expected-time', 'least-connections', 'round-robin'],
        description: 'Policy by which an entry chooses upstreams.',
        fallback: 'expected-time',
      },
      {
        key: 'placement',
        kind: 'choice',
        choices: ['least-harm', 'first-fit', 'least-assigned', 'separate'],
        description: 'Scorer by which tasks are placed.',
        fallback: 'least-harm',
      },
      {
        key: 'log-level',
        kind: 'choice',
        choices: ['debug', 'info', 'warn', 'error', 'fatal'],
        description: 'Least level that is written to the log.',
        fallback: 'info',
      },
      {
        key: 'events',
        kind: 'whole-number',
        description: 'Events that the process keeps for the time line.',
        fallback: '4096',
        minimum: 16,
        maximum: 100_000,
      },
      {
        key: 'notice-seconds',
        kind: 'whole-number',
        description:
          'Time in which a stopping entry still serves, while its balancer finds it not ready.',
        fallback: '5',
        minimum: 0,
        maximum: 600,
      },
      {
        key: 'shutdown-seconds',
        kind: 'whole-number',
        description: 'Longest wait for work in progress on a planned stop.',
        fallback: '30',
        minimum: 1,
        maximum: 3600,
      },
    ],
  },
];
