import { formatTable } from '../format/format-table.js';
import type { StatusView } from './status-view.js';

/** Maximum number of jobs in the table; the summary counts all jobs. */
const MAXIMUM_JOBS_SHOWN = 40;

function round(value: number): string {
  return String(Math.round(value * 10) / 10);
}

function services(status: StatusView): string {
  return formatTable([
    ['service', 'minions', 'assigned', 'serving'],
    ...status.services.map(service => [
      service.service,
      String(service.minions),
      String(service.assigned),
      String(service.serving),
    ]),
  ]);
}

function jobs(status: StatusView): string {
  const counts = new Map<string, number>();
  for (const { state } of status.jobs) {
    counts.set(state, (counts.get(state) ?? 0) + 1);
  }
  const summary = [...counts].map(([state, count]) => `${count} ${state}`);
  const unfinished = status.jobs.filter(({ state }) => state !== 'finished');
  const table = formatTable([
    ['job', 'state', 'why'],
    ...unfinished
      .slice(0, MAXIMUM_JOBS_SHOWN)
      .map(job => [job.job, job.state, job.reason]),
  ]);
  return `jobs: ${summary.join(', ') || 'none'}\n${table}`;
}

function workers(status: StatusView): string {
  return formatTable([
    ['worker', 'cell', 'condition', 'processors', 'memory', 'tasks', 'why'],
    ...status.workers.map(worker => [
      worker.worker,
      worker.cell,
      worker.condition,
      `${round(worker.assigned.processors)}/${round(worker.size.processors)}`,
      `${round(worker.assigned.memoryGigabytes)}/${round(worker.size.memoryGigabytes)}`,
      String(worker.attempts),
      worker.reason,
    ]),
  ]);
}

function quotas(status: StatusView): string {
  return formatTable([
    ['team', 'processors', 'memory', 'accelerators'],
    ...status.quotas.map(({ team, used, quota }) => [
      team,
      `${round(used.processors)}/${round(quota.processors)}`,
      `${round(used.memoryGigabytes)}/${round(quota.memoryGigabytes)}`,
      `${used.accelerators}/${quota.accelerators}`,
    ]),
  ]);
}

function leases(status: StatusView): string {
  return formatTable([
    ['lease', 'epoch', 'holder'],
    ...status.leases.map(lease => [
      lease.cell,
      String(lease.epoch),
      lease.holder || 'nobody',
    ]),
  ]);
}

/** Formats the status as text. */
export function formatStatus(status: StatusView): string {
  const store = status.storeReachable ? 'answers' : 'does not answer';
  const head = `${status.process}: revision ${status.revision}, log ${store}, offset ${status.logNext}, ${status.logLag} behind`;
  const members = formatTable([
    ['process', 'role', 'state'],
    ...status.members.map(({ id, role, state }) => [id, role, state]),
  ]);
  return [
    head,
    services(status),
    jobs(status),
    workers(status),
    quotas(status),
    leases(status),
    members,
  ].join('\n\n');
}
