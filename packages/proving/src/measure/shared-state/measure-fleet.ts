import { seededRandom } from '@basilcourse/foundation/random/seeded-random';
import { seededBehaviour } from '@basilcourse/platform-stand-in/worker/seeded-behaviour';

import { Deployment } from '../../deployment/deployment.js';
import { publish } from '../../deployment/publish.js';
import { waitUntil } from '../../deployment/wait-until.js';
import { percentile } from '../percentile.js';

const SEED = 77;

const ENTRIES = 6;

const PUBLICATIONS = 15;

const LOG_DELAY_MILLISECONDS = 30;

const IDLE_PERIOD_MILLISECONDS = 15_000;

const WAIT_TIMEOUT_MILLISECONDS = 60_000;

/** Cost, note distribution times and takeover time of many nodes. */
export interface FleetMetrics {
  readonly agents: number;
  readonly entries: number;
  readonly inForceMedianMilliseconds: number;
  readonly inForceMaximumMilliseconds: number;
  readonly idleBytesPerSecondPerAgent: number;
  readonly idleProcessorSharePerNode: number;
  readonly appendsPerSecondIdle: number;
  readonly takeoverMilliseconds: number;
}

function teamNote(number: number): string {
  return `
[note]
name = note-${number}
operator = measure
based-on = ${number}

[team team-${number}]
processors = 10
memory-gigabytes = 10
`;
}

function controlBytes(deployment: Deployment): number {
  return deployment.entries.reduce((sum, entry) => sum + entry.controlBytes, 0);
}

async function publishAndWait(
  deployment: Deployment,
  number: number,
): Promise<readonly number[]> {
  const [entry] = deployment.entries;
  if (entry === undefined) {
    return [];
  }
  const startedAt = performance.now();
  const cores = [
    ...deployment.entries.map(({ core }) => core),
    ...deployment.vms.flatMap(({ agent }) =>
      agent === undefined ? [] : [agent.core],
    ),
  ];
  const times = new Map<string, number>();
  for (const core of cores) {
    const { name } = core.settings;
    core.state.onOutcome(() => {
      const isInForce = core.state.fold.configuration.revision > number;
      if (isInForce && !times.has(name)) {
        times.set(name, performance.now() - startedAt);
      }
    });
  }
  void publish(entry, teamNote(number));
  await waitUntil(() => times.size === cores.length, WAIT_TIMEOUT_MILLISECONDS);
  return [...times.values()];
}

async function measureTakeover(deployment: Deployment): Promise<number> {
  const entryHoldings = deployment.entries.map(entry => ({
    entry,
    holdsCell: [
      ...(deployment.entries[0]?.core.state.fold.scheduling.cells.values() ??
        []),
    ].some(cell => cell.holder === entry.core.instance),
  }));
  const holder = entryHoldings.find(({ holdsCell }) => holdsCell)?.entry;
  if (holder === undefined) {
    return 0;
  }
  const { instance } = holder.core;
  await deployment.killEntry(holder);
  const startedAt = performance.now();
  await waitUntil(
    () =>
      ![
        ...(deployment.entries[0]?.core.state.fold.scheduling.cells.values() ??
          []),
      ].some(cell => cell.holder === instance),
    WAIT_TIMEOUT_MILLISECONDS,
  );
  return performance.now() - startedAt;
}

/** Starts many nodes in this process, on one machine, and measures them. */
export async function measureFleet(agents: number): Promise<FleetMetrics> {
  const deployment = new Deployment({
    seed: SEED,
    zones: [
      { region: 'dalmatia', zone: 'dalmatia-1' },
      { region: 'dalmatia', zone: 'dalmatia-2' },
      { region: 'istria', zone: 'istria-1' },
    ],
    entries: ENTRIES,
    workers: agents,
    workersPerRack: 3,
    workerSize: { processors: 16, memoryGigabytes: 62, accelerators: 0 },
    routing: 'expected-time',
    taskBehaviour: seededBehaviour(SEED),
    upstreamBehaviour: () => ({
      serviceMilliseconds: () => seededRandom(SEED).next(),
      slowdownFactor: () => 1,
      failedResponseShare: 0,
      truncatedResponseShare: 0,
    }),
  });
  deployment.log.setFaults({ delayMilliseconds: LOG_DELAY_MILLISECONDS });
  await deployment.start();
  await waitUntil(
    () =>
      deployment.entries.every(
        ({ core }) => core.members.ofRole('agent').length === agents,
      ),
    WAIT_TIMEOUT_MILLISECONDS,
  );
  const times: number[] = [];
  for (let number = 0; number < PUBLICATIONS; number += 1) {
    times.push(...(await publishAndWait(deployment, number)));
  }
  const bytesBefore = controlBytes(deployment);
  const appendsBefore = deployment.log.end;
  const processorBefore = process.cpuUsage();
  const idleStartedAt = performance.now();
  await new Promise(resolve => setTimeout(resolve, IDLE_PERIOD_MILLISECONDS));
  const seconds = (performance.now() - idleStartedAt) / 1000;
  const processor = process.cpuUsage(processorBefore);
  const bytes = controlBytes(deployment) - bytesBefore;
  const appends = deployment.log.end - appendsBefore;
  const takeoverMilliseconds = await measureTakeover(deployment);
  await deployment.kill();
  const processorSeconds = (processor.user + processor.system) / 1_000_000;
  return {
    agents,
    entries: ENTRIES,
    inForceMedianMilliseconds: percentile(times, 0.5),
    inForceMaximumMilliseconds: Math.max(...times),
    idleBytesPerSecondPerAgent: bytes / seconds / agents,
    idleProcessorSharePerNode: processorSeconds / seconds / (agents + ENTRIES),
    appendsPerSecondIdle: appends / seconds,
    takeoverMilliseconds,
  };
}
