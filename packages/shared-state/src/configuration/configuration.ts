import type { BatchJob } from '../release-note/batch-job.js';
import type { Limits } from '../release-note/limits.js';
import type { Service } from '../release-note/service.js';
import type { Team } from '../release-note/team.js';
import type { WorkerShape } from '../release-note/worker-shape.js';
import type { EntryInstance } from './entry-instance.js';
import type { NoteVerdict } from './note-verdict.js';

/** The configuration in force at one offset of the log. */
export interface Configuration {
  readonly revision: number;
  readonly limits: Limits;
  readonly shapes: ReadonlyMap<string, WorkerShape>;
  readonly teams: ReadonlyMap<string, Team>;
  readonly services: ReadonlyMap<string, Service>;
  readonly jobs: ReadonlyMap<string, BatchJob>;
  /** Revision that added each job. */
  readonly jobsSince: ReadonlyMap<string, number>;
  readonly drained: ReadonlySet<string>;
  readonly entries: ReadonlyMap<string, EntryInstance>;
  /** Verdicts on the most recent notes by record identifier, oldest first. */
  readonly verdicts: ReadonlyMap<string, NoteVerdict>;
}
