import type { LogLevel } from '@basilcourse/foundation/logging/create-logger';
import { checkIni } from '@basilcourse/foundation/settings/check-ini';
import type { CheckedSection } from '@basilcourse/foundation/settings/checked-section';
import { isAddress } from '@basilcourse/foundation/settings/field-checks';
import type { Problem } from '@basilcourse/foundation/settings/problem';
import { SectionReader } from '@basilcourse/foundation/settings/section-reader';
import type { RoutingPolicyName } from '@basilcourse/request-plane/routing/routing-policies';
import type { ScorerName } from '@basilcourse/scheduler/placement/scorers';
import type { WorkerDescription } from '@basilcourse/shared-state/records/worker-description';

import type { ParsedSettings } from './parsed-settings.js';
import type { Settings } from './settings.js';
import { settingsFormat } from './settings-format.js';

function readWorker(
  section: CheckedSection | undefined,
  processReader: SectionReader,
): WorkerDescription | undefined {
  if (section === undefined) {
    return undefined;
  }
  const reader = new SectionReader(section);
  return {
    worker: reader.text('name'),
    address: reader.text('address'),
    region: processReader.text('region'),
    availabilityZone: processReader.text('availability-zone'),
    rack: processReader.text('rack'),
    resources: {
      processors: reader.number('processors'),
      memoryGigabytes: reader.number('memory-gigabytes'),
      accelerators: reader.number('accelerators'),
    },
  };
}

function checkRole(settings: Settings): readonly Problem[] {
  return settings.role === 'agent' && settings.worker === undefined
    ? [
        {
          line: 0,
          section: 'worker',
          key: 'name',
          found: 'no such section',
          allowed: 'a worker section, as the role is agent',
        },
      ]
    : [];
}

function checkEntries(settings: Settings): readonly Problem[] {
  return settings.entries
    .filter(address => !isAddress(address))
    .map(found => ({
      line: 0,
      section: 'addresses',
      key: 'entries',
      found,
      allowed: 'IP numbers and ports, separated by commas',
    }));
}

/** Parses and checks the text of a settings file. */
export function parseSettings(text: string): ParsedSettings {
  const { sections, problems } = checkIni(text, settingsFormat);
  const findSection = (kind: string): CheckedSection | undefined =>
    sections.find(section => section.kind === kind);
  const readSection = (kind: string): SectionReader => {
    const fields =
      settingsFormat.find(section => section.kind === kind)?.fields ?? [];
    const fallbacks = new Map(
      fields.map(field => [field.key, field.fallback ?? '']),
    );
    const defaults = { kind, name: '', values: fallbacks };
    return new SectionReader(findSection(kind) ?? defaults);
  };
  const processReader = readSection('process');
  const addresses = readSection('addresses');
  const security = readSection('security');
  const behaviour = readSection('behaviour');
  const settings: Settings = {
    name: processReader.text('name'),
    role: processReader.text('role') === 'agent' ? 'agent' : 'entry',
    region: processReader.text('region'),
    availabilityZone: processReader.text('availability-zone'),
    rack: processReader.text('rack'),
    controlAddress: addresses.text('control'),
    operatorsAddress: addresses.text('operators'),
    callersAddress: addresses.text('callers'),
    localAddress: addresses.text('local'),
    logAddress: addresses.text('log'),
    entries: addresses.list('entries'),
    worker: readWorker(findSection('worker'), processReader),
    keys: {
      current: security.text('key'),
      other: security.text('other-key'),
    },
    routing: behaviour.text('routing') as RoutingPolicyName,
    placement: behaviour.text('placement') as ScorerName,
    logLevel: behaviour.text('log-level') as LogLevel,
    events: behaviour.number('events'),
    noticeSeconds: behaviour.number('notice-seconds'),
    shutdownSeconds: behaviour.number('shutdown-seconds'),
  };
  const combinationProblems = [
    ...checkRole(settings),
    ...checkEntries(settings),
  ];
  return { settings, problems: [...problems, ...combinationProblems] };
}
