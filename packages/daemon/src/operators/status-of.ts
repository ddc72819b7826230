import type { UpstreamRouter } from '@basilcourse/request-plane/routing/upstream-router';
import type { Resources } from '@basilcourse/shared-state/records/resources';
import { add } from '@basilcourse/shared-state/resources/add';
import { NO_RESOURCES } from '@basilcourse/shared-state/resources/no-resources';
import {
  jobOf,
  jobTask,
  serviceOf,
} from '@basilcourse/shared-state/scheduling/task-names';

import type { NodeCore } from '../node/node-core.js';
import type { CellManager } from '../scheduling/cell-manager.js';
import type { Status } from './status.js';

function jobState(core: NodeCore, job: string): string {
  const { configuration, scheduling } = core.state.fold;
  const task = jobTask(job, configuration.jobsSince.get(job) ?? 0);
  const progress = scheduling.tasks.get(task);
  if (progress?.finished === true) {
    return 'finished';
  }
  if (progress !== undefined && progress.unplaceable !== '') {
    return 'unplaceable';
  }
  if (progress !== undefined && progress.active !== '') {
    return 'running';
  }
  return 'waiting';
}

function waitingReason(core: NodeCore, job: string): string {
  const { configuration, scheduling } = core.state.fold;
  const task = jobTask(job, configuration.jobsSince.get(job) ?? 0);
  const progress = scheduling.tasks.get(task);
  const missing = (configuration.jobs.get(job)?.after ?? []).filter(
    previous => jobState(core, previous) !== 'finished',
  );
  if (missing.length > 0) {
    return `waits for ${missing.join(', ')}`;
  }
  if (progress !== undefined && progress.unplaceable !== '') {
    return progress.unplaceable;
  }
  if (progress?.lastOutcome === 'failed') {
    return `failed ${progress.failures} times: ${progress.lastReason}`;
  }
  return 'waits for room';
}

function quotasOf(core: NodeCore): Status['quotas'] {
  const { configuration, scheduling } = core.state.fold;
  const used = new Map<string, Resources>();
  for (const { task, resources } of scheduling.attempts.values()) {
    const team =
      configuration.services.get(serviceOf(task))?.team ??
      configuration.jobs.get(jobOf(task))?.team ??
      '';
    used.set(team, add(used.get(team) ?? NO_RESOURCES, resources));
  }
  return [...configuration.teams.values()].map(({ name, quota }) => ({
    team: name,
    quota,
    used: used.get(name) ?? NO_RESOURCES,
  }));
}

/** Summarizes the configuration, tasks and members in one entry's state. */
export function statusOf(
  core: NodeCore,
  dependencies: {
    readonly router: UpstreamRouter;
    readonly cells: CellManager;
  },
): Status {
  const { configuration, scheduling } = core.state.fold;
  const jobs = [...configuration.jobs.keys()].map(job => ({
    job,
    state: jobState(core, job),
  }));
  return {
    process: core.settings.name,
    revision: configuration.revision,
    storeReachable: core.health.reachable,
    logNext: core.state.fold.next,
    logLag: core.state.lag,
    services: [...configuration.services.values()].map(service => ({
      service: service.name,
      minions: service.minions,
      assigned: scheduling.attemptsOf(`service/${service.name}`).length,
      serving: dependencies.router.candidates(service.name).length,
    })),
    jobs: jobs.map(({ job, state }) => ({
      job,
      state,
      reason:
        state === 'waiting' || state === 'unplaceable'
          ? waitingReason(core, job)
          : '',
    })),
    workers: [...scheduling.workers.values()].map(worker => ({
      worker: worker.description.worker,
      cell: worker.cell,
      condition: configuration.drained.has(worker.description.worker)
        ? 'drained'
        : worker.condition,
      reason: worker.reason,
      size: worker.description.resources,
      assigned: worker.assigned,
      attempts: scheduling.attemptsOn(worker.description.worker).length,
    })),
    quotas: quotasOf(core),
    leases: [...scheduling.cells.values()].map(cell => ({
      cell: cell.name,
      holder: cell.holder,
      epoch: cell.epoch,
    })),
    members: core.members.all.map(({ member }) => ({
      id: member.id,
      role: member.role,
      state: member.state,
    })),
  };
}
