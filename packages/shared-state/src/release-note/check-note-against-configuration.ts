import type { Problem } from '@basilcourse/foundation/settings/problem';

import type { Configuration } from '../configuration/configuration.js';
import type { Resources } from '../records/resources.js';
import { fits } from '../resources/fits.js';
import { multiply } from '../resources/multiply.js';
import { sumOf } from '../resources/sum-of.js';
import type { BatchJob } from './batch-job.js';
import { findCycle } from './find-cycle.js';
import type { ReleaseNote } from './release-note.js';
import type { Service } from './service.js';
import type { Team } from './team.js';

/** Maximum number of jobs in force at once. */
const MAXIMUM_JOBS = 100_000;

interface MergedConfiguration {
  readonly teams: ReadonlyMap<string, Team>;
  readonly services: ReadonlyMap<string, Service>;
  readonly jobs: ReadonlyMap<string, BatchJob>;
  readonly shapes: readonly Resources[];
}

function mergeByName<Named extends { readonly name: string }>(
  current: ReadonlyMap<string, Named>,
  added: readonly Named[],
  withdrawn: readonly string[],
): ReadonlyMap<string, Named> {
  const merged = new Map(current);
  for (const name of withdrawn) {
    merged.delete(name);
  }
  for (const entry of added) {
    merged.set(entry.name, entry);
  }
  return merged;
}

function namesWithdrawn(note: ReleaseNote, kind: string): readonly string[] {
  return note.withdrawn
    .filter(name => name.startsWith(`${kind} `))
    .map(name => name.slice(kind.length + 1));
}

function merge(
  configuration: Configuration,
  note: ReleaseNote,
): MergedConfiguration {
  const { teams, services, jobs, shapes } = configuration;
  const withdrawnServices = namesWithdrawn(note, 'service');
  const allShapes = mergeByName(shapes, note.shapes, []);
  return {
    teams: mergeByName(teams, note.teams, []),
    services: mergeByName(services, note.services, withdrawnServices),
    jobs: mergeByName(jobs, note.jobs, namesWithdrawn(note, 'job')),
    shapes: [...allShapes.values()].map(shape => shape.resources),
  };
}

function problem(
  section: string,
  key: string,
  found: string,
  allowed: string,
): Problem {
  return { line: 0, section, key, found, allowed };
}

function checkTeam(
  section: string,
  team: string,
  merged: MergedConfiguration,
): Problem[] {
  return merged.teams.has(team)
    ? []
    : [problem(section, 'team', team, [...merged.teams.keys()].join(', '))];
}

function checkShape(
  section: string,
  resources: Resources,
  merged: MergedConfiguration,
): Problem[] {
  const fitsSomeShape = merged.shapes.some(shape => fits(resources, shape));
  return fitsSomeShape || merged.shapes.length === 0
    ? []
    : [problem(section, 'processors', 'a size that fits no worker', 'a shape')];
}

function checkJob(job: BatchJob, merged: MergedConfiguration): Problem[] {
  const section = `job ${job.name}`;
  const missing = job.after.filter(name => !merged.jobs.has(name));
  const quota = merged.teams.get(job.team)?.quota;
  return [
    ...checkTeam(section, job.team, merged),
    ...checkShape(section, job.resources, merged),
    ...missing.map(name => problem(section, 'after', name, 'a known job')),
    ...(quota !== undefined && !fits(job.resources, quota)
      ? [problem(section, 'team', 'a size over the quota', 'within the quota')]
      : []),
  ];
}

function checkQuota(team: Team, merged: MergedConfiguration): Problem[] {
  const serviceResources = [...merged.services.values()]
    .filter(service => service.team === team.name)
    .map(service => multiply(service.resources, service.minions));
  return fits(sumOf(serviceResources), team.quota)
    ? []
    : [
        problem(
          `team ${team.name}`,
          'processors',
          'services over the quota',
          'services within the quota',
        ),
      ];
}

function checkCycle(merged: MergedConfiguration): Problem[] {
  const cycle = findCycle(merged.jobs);
  return cycle === undefined
    ? []
    : [
        problem(
          `job ${cycle[0] ?? ''}`,
          'after',
          cycle.join(' > '),
          'no cycle',
        ),
      ];
}

function checkWithdrawn(
  configuration: Configuration,
  note: ReleaseNote,
): Problem[] {
  const existingNames = new Set([
    ...[...configuration.services.keys()].map(name => `service ${name}`),
    ...[...configuration.jobs.keys()].map(name => `job ${name}`),
  ]);
  return note.withdrawn
    .filter(name => !existingNames.has(name))
    .map(name =>
      problem(`withdraw-${name}`, '', 'an unknown name', 'a known one'),
    );
}

/** Checks a note against the configuration that it would change. */
export function checkNoteAgainstConfiguration(
  configuration: Configuration,
  note: ReleaseNote,
): readonly Problem[] {
  const merged = merge(configuration, note);
  const tooMany = merged.jobs.size > MAXIMUM_JOBS;
  return [
    ...(tooMany ? [problem('job', '', 'too many', `${MAXIMUM_JOBS}`)] : []),
    ...note.services.flatMap(service => [
      ...checkTeam(`service ${service.name}`, service.team, merged),
      ...checkShape(`service ${service.name}`, service.resources, merged),
    ]),
    ...note.jobs.flatMap(job => checkJob(job, merged)),
    ...[...merged.teams.values()].flatMap(team => checkQuota(team, merged)),
    ...checkCycle(merged),
    ...checkWithdrawn(configuration, note),
  ];
}
