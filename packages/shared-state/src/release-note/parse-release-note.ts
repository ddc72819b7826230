import { checkIni } from '@basilcourse/foundation/settings/check-ini';
import type { CheckedSection } from '@basilcourse/foundation/settings/checked-section';
import { SectionReader } from '@basilcourse/foundation/settings/section-reader';

import type { Resources } from '../records/resources.js';
import type { BatchJob } from './batch-job.js';
import type { Limits } from './limits.js';
import type { ParsedNote } from './parsed-note.js';
import { releaseNoteFormat } from './release-note-format.js';
import type { Service } from './service.js';
import type { Team } from './team.js';

function readResources(reader: SectionReader): Resources {
  return {
    processors: reader.number('processors'),
    memoryGigabytes: reader.number('memory-gigabytes'),
    accelerators: reader.number('accelerators'),
  };
}

function readLimits(section: CheckedSection): Limits {
  const reader = new SectionReader(section);
  return {
    latencyWeight: reader.number('latency-weight'),
    taskLeaseSeconds: reader.number('task-lease-seconds'),
    storeOutageSeconds: reader.number('store-outage-seconds'),
    cellLeaseMilliseconds: reader.number('cell-lease-milliseconds'),
    cellsPerRegion: reader.number('cells-per-region'),
    probationShare: reader.number('probation-share'),
    crossRegionBytesPerSecond: reader.number('cross-region-bytes-per-second'),
    claimMemorySeconds: reader.number('claim-memory-seconds'),
  };
}

function readTeam(section: CheckedSection): Team {
  const reader = new SectionReader(section);
  const quota = readResources(reader);
  return { name: section.name, quota, weight: reader.number('weight') };
}

function readService(section: CheckedSection): Service {
  const reader = new SectionReader(section);
  return {
    name: section.name,
    team: reader.text('team'),
    taskKind: reader.text('task-kind'),
    resources: readResources(reader),
    minions: reader.number('minions'),
    slots: reader.number('slots'),
    connections: reader.number('connections'),
    timeoutMilliseconds: reader.number('timeout-milliseconds'),
    targetMilliseconds: reader.number('target-milliseconds'),
  };
}

function readJob(section: CheckedSection): BatchJob {
  const reader = new SectionReader(section);
  return {
    name: section.name,
    team: reader.text('team'),
    taskKind: reader.text('task-kind'),
    resources: readResources(reader),
    declaredSeconds: reader.number('declared-seconds'),
    urgent: reader.boolean('urgent'),
    after: reader.list('after'),
  };
}

/** Parses and checks the INI text of a release note. */
export function parseReleaseNote(text: string): ParsedNote {
  const { sections, problems } = checkIni(text, releaseNoteFormat);
  const ofKind = (kind: string): readonly CheckedSection[] =>
    sections.filter(section => section.kind === kind);
  const namesOf = (kind: string): readonly string[] =>
    ofKind(kind).map(section => section.name);
  const header = new SectionReader(
    ofKind('note')[0] ?? { kind: 'note', name: '', values: new Map() },
  );
  const limits = ofKind('limits')[0];
  const note = {
    name: header.text('name'),
    operator: header.text('operator'),
    basedOn: header.number('based-on'),
    description: header.text('description'),
    limits: limits === undefined ? undefined : readLimits(limits),
    shapes: ofKind('shape').map(section => ({
      name: section.name,
      resources: readResources(new SectionReader(section)),
    })),
    teams: ofKind('team').map(readTeam),
    services: ofKind('service').map(readService),
    jobs: ofKind('job').map(readJob),
    withdrawn: [
      ...namesOf('withdraw-service').map(name => `service ${name}`),
      ...namesOf('withdraw-job').map(name => `job ${name}`),
    ],
    drained: namesOf('drain'),
    restored: namesOf('restore'),
  };
  return { note, problems };
}
