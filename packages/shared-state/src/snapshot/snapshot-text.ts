import { ConfigurationState } from '../configuration/configuration-state.js';
import { RecentIdentifiers } from '../fold/recent-identifiers.js';
import { StateFold } from '../fold/state-fold.js';
import type { Attempt } from '../scheduling/attempt.js';
import type { Cell } from '../scheduling/cell.js';
import type { PastMinion } from '../scheduling/past-minion.js';
import { SchedulingState } from '../scheduling/scheduling-state.js';
import type { TaskProgress } from '../scheduling/task-progress.js';
import type { Worker } from '../scheduling/worker.js';

/** Version of the snapshot format. */
const SNAPSHOT_VERSION = 2;

interface SerializedSnapshot {
  readonly version: number;
  readonly next: number;
  readonly configuration: SerializedConfiguration;
  readonly scheduling: SerializedScheduling;
  readonly configurationIds: readonly string[];
  readonly schedulingIds: readonly string[];
}

type Entries<Value> = readonly (readonly [string, Value])[];

type EntriesOf<Field> =
  Field extends ReadonlyMap<string, infer Value> ? Entries<Value> : never;

interface SerializedConfiguration {
  readonly revision: number;
  readonly limits: ConfigurationState['limits'];
  readonly shapes: EntriesOf<ConfigurationState['shapes']>;
  readonly teams: EntriesOf<ConfigurationState['teams']>;
  readonly services: EntriesOf<ConfigurationState['services']>;
  readonly jobs: EntriesOf<ConfigurationState['jobs']>;
  readonly jobsSince: EntriesOf<ConfigurationState['jobsSince']>;
  readonly drained: readonly string[];
  readonly entries: EntriesOf<ConfigurationState['entries']>;
  readonly verdicts: EntriesOf<ConfigurationState['verdicts']>;
  readonly changes: EntriesOf<ConfigurationState['changes']>;
}

interface SerializedScheduling {
  readonly cells: Entries<Cell>;
  readonly workers: Entries<Worker>;
  readonly attempts: Entries<Attempt>;
  readonly tasks: Entries<TaskProgress>;
  readonly pastMinions: Entries<PastMinion>;
}

function serializeConfiguration(
  state: ConfigurationState,
): SerializedConfiguration {
  return {
    revision: state.revision,
    limits: state.limits,
    shapes: [...state.shapes],
    teams: [...state.teams],
    services: [...state.services],
    jobs: [...state.jobs],
    jobsSince: [...state.jobsSince],
    drained: [...state.drained],
    entries: [...state.entries],
    verdicts: [...state.verdicts],
    changes: [...state.changes],
  };
}

function setAll<Value>(
  target: Map<string, Value>,
  entries: Entries<Value>,
): void {
  for (const [key, value] of entries) {
    target.set(key, value);
  }
}

function restoreConfiguration(
  serialized: SerializedConfiguration,
): ConfigurationState {
  const state = new ConfigurationState();
  state.revision = serialized.revision;
  state.limits = serialized.limits;
  setAll(state.shapes, serialized.shapes);
  setAll(state.teams, serialized.teams);
  setAll(state.services, serialized.services);
  setAll(state.jobs, serialized.jobs);
  setAll(state.jobsSince, serialized.jobsSince);
  setAll(state.entries, serialized.entries);
  setAll(state.verdicts, serialized.verdicts);
  setAll(state.changes, serialized.changes);
  for (const worker of serialized.drained) {
    state.drained.add(worker);
  }
  return state;
}

function restoreScheduling(serialized: SerializedScheduling): SchedulingState {
  const state = new SchedulingState();
  setAll(state.cells, serialized.cells);
  setAll(state.tasks, serialized.tasks);
  setAll(state.pastMinions, serialized.pastMinions);
  for (const [, worker] of serialized.workers) {
    state.setWorker(worker);
  }
  for (const [, attempt] of serialized.attempts) {
    state.storeAttempt(attempt);
  }
  return state;
}

function restoreIdentifiers(identifiers: readonly string[]): RecentIdentifiers {
  const restored = new RecentIdentifiers();
  for (const identifier of identifiers) {
    restored.add(identifier);
  }
  return restored;
}

/** Serializes the whole state as JSON; equal states give equal texts. */
export function writeSnapshot(fold: StateFold): string {
  const { schedulingState } = fold;
  const snapshot: SerializedSnapshot = {
    version: SNAPSHOT_VERSION,
    next: fold.next,
    configuration: serializeConfiguration(fold.configurationState),
    scheduling: {
      cells: [...schedulingState.cells],
      workers: [...schedulingState.workers],
      attempts: [...schedulingState.attempts],
      tasks: [...schedulingState.tasks],
      pastMinions: [...schedulingState.pastMinions],
    },
    configurationIds: fold.configurationIds.toArray(),
    schedulingIds: fold.schedulingIds.toArray(),
  };
  return JSON.stringify(snapshot);
}

/**
 * Serializes only the configuration, with the identifiers of its records, for
 * nodes that do not fold the scheduling state.
 */
export function writeConfigurationSnapshot(fold: StateFold): string {
  const snapshot: SerializedSnapshot = {
    version: SNAPSHOT_VERSION,
    next: fold.next,
    configuration: serializeConfiguration(fold.configurationState),
    scheduling: {
      cells: [],
      workers: [],
      attempts: [],
      tasks: [],
      pastMinions: [],
    },
    configurationIds: fold.configurationIds.toArray(),
    schedulingIds: [],
  };
  return JSON.stringify(snapshot);
}

/**
 * Restores a fold from a snapshot's text.
 *
 * @throws Error when the text has another version or is incomplete.
 */
export function readSnapshot(text: string): StateFold {
  const parsed = JSON.parse(text) as SerializedSnapshot;
  if (parsed.version !== SNAPSHOT_VERSION) {
    throw new Error(`snapshot version ${parsed.version} is not supported`);
  }
  return new StateFold(
    parsed.next,
    restoreConfiguration(parsed.configuration),
    restoreScheduling(parsed.scheduling),
    restoreIdentifiers(parsed.configurationIds),
    restoreIdentifiers(parsed.schedulingIds),
  );
}
