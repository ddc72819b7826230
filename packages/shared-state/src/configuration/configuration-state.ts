import type { BatchJob } from '../release-note/batch-job.js';
import { DEFAULT_LIMITS } from '../release-note/default-limits.js';
import type { Limits } from '../release-note/limits.js';
import type { Service } from '../release-note/service.js';
import type { Team } from '../release-note/team.js';
import type { WorkerShape } from '../release-note/worker-shape.js';
import type { Configuration } from './configuration.js';
import type { EntryInstance } from './entry-instance.js';
import type { NameChange } from './name-change.js';
import type { NoteVerdict } from './note-verdict.js';

/** Maximum number of verdicts kept for `release-note history`. */
const MAXIMUM_VERDICTS = 500;

/** Mutable state behind the configuration; changed only by the fold. */
export class ConfigurationState implements Configuration {
  public revision = 0;

  public limits: Limits = DEFAULT_LIMITS;

  public readonly shapes = new Map<string, WorkerShape>();

  public readonly teams = new Map<string, Team>();

  public readonly services = new Map<string, Service>();

  public readonly jobs = new Map<string, BatchJob>();

  public readonly jobsSince = new Map<string, number>();

  public readonly drained = new Set<string>();

  public readonly entries = new Map<string, EntryInstance>();

  public readonly verdicts = new Map<string, NoteVerdict>();

  public readonly changes = new Map<string, NameChange>();

  /** Stores a verdict and drops the oldest one beyond the maximum. */
  public addVerdict(verdict: NoteVerdict): void {
    this.verdicts.set(verdict.id, verdict);
    const oldest = this.verdicts.keys().next();
    if (this.verdicts.size > MAXIMUM_VERDICTS && oldest.done !== true) {
      this.verdicts.delete(oldest.value);
    }
  }
}
