import { BoundedMap } from '@basilcourse/foundation/util/bounded-map';

import type { LowestTail } from './lowest-tail.js';
import type { ServingTail } from './serving-tail.js';
import { VersionedRows } from './versioned-rows.js';

/** Tasks of which something is remembered. */
const MOST_REMEMBERED = 20_000;

/** Figures of one task count for so long. */
const FRESH_MILLISECONDS = 1200;

/** Part of the lowest tail ever seen that is service and not waiting. */
const FLOOR_PART = 0.8;

/** Part of its bound above which a tail tells nothing of the floor. */
const MOST_FLOOR_PART = 0.5;

/** The first figures of a task cover time before its start. */
const SETTLE_MILLISECONDS = 1200;

/** Steps between figures by which a rising load is carried on. */
const STEPS_AHEAD = 1;

const STEP_MILLISECONDS = 500;

interface Figure {
  readonly tail: number;
  readonly at: number;
}

interface JobFigures {
  readonly image: string;
  readonly tails: Map<string, Figure>;
  readonly previous: Figure;
  readonly newest: Figure;
}

/**
 * Watches the tails of jobs that serve. The tasks of one job share its load, so
 * the lowest tail among them tells the load free of neighbours.
 */
export class LoadWatch {
  private readonly jobs = new Map<string, JobFigures>();

  private readonly lowestTails = new VersionedRows<LowestTail>(
    (noted, row) => row.milliseconds < noted.milliseconds,
  );

  private readonly firstAt = new BoundedMap<number>(MOST_REMEMBERED);

  /** Notes the tail of one task. */
  public note(
    { job, image, task, tail, bound }: ServingTail,
    now: number,
  ): void {
    if (tail <= 0) {
      return;
    }
    const firstAt = this.firstAt.get(task) ?? now;
    this.firstAt.set(task, firstAt);
    if (now - firstAt < SETTLE_MILLISECONDS) {
      return;
    }
    if (tail <= bound * MOST_FLOOR_PART) {
      this.noteLowest(image, tail);
    }
    const figures = this.jobs.get(job) ?? {
      image,
      tails: new Map<string, Figure>(),
      previous: { tail, at: now },
      newest: { tail, at: now },
    };
    this.jobs.set(job, figures);
    figures.tails.set(task, { tail, at: now });
    if (now - figures.newest.at >= STEP_MILLISECONDS) {
      this.jobs.set(job, {
        ...figures,
        previous: figures.newest,
        newest: { tail: lowest(figures, now), at: now },
      });
    }
  }

  /** Returns the tail that a task of the job has without neighbours. */
  public quietTail(job: string, now: number): number {
    const figures = this.jobs.get(job);
    return figures === undefined ? 0 : lowest(figures, now);
  }

  /** Returns the quiet tail of a moment ahead, if the load goes on rising. */
  public quietTailAhead(job: string, now: number): number {
    const figures = this.jobs.get(job);
    if (figures === undefined) {
      return 0;
    }
    const rise = figures.newest.tail - figures.previous.tail;
    return lowest(figures, now) + Math.max(0, rise * STEPS_AHEAD);
  }

  /** Returns the tail of a task that never waits; 0 while it is not known. */
  public floor(job: string): number {
    const figures = this.jobs.get(job);
    const seen = figures && this.lowestTails.get(figures.image);
    return (seen?.milliseconds ?? 0) * FLOOR_PART;
  }

  /** Version of the newest lowest tail. */
  public get version(): number {
    return this.lowestTails.version;
  }

  /** Returns the lowest tails found after a version; all after 0. */
  public lowestTailsSince(version: number): readonly LowestTail[] {
    return this.lowestTails.since(version);
  }

  /** Takes over the lowest tails that an earlier process saw. */
  public adopt(lowestTails: readonly LowestTail[]): void {
    for (const { image, milliseconds } of lowestTails) {
      this.noteLowest(image, milliseconds);
    }
  }

  /** Forgets jobs that were not heard of for long. */
  public forgetOld(now: number, keepMilliseconds: number): void {
    for (const [job, { newest }] of this.jobs) {
      if (now - newest.at > keepMilliseconds) {
        this.jobs.delete(job);
      }
    }
  }

  private noteLowest(image: string, tail: number): void {
    const before = this.lowestTails.get(image)?.milliseconds ?? tail;
    const milliseconds = Math.min(before, tail);
    this.lowestTails.set(image, { image, milliseconds });
  }
}

function lowest({ tails, newest }: JobFigures, now: number): number {
  let least = Number.POSITIVE_INFINITY;
  for (const [task, { tail, at }] of tails) {
    if (now - at > FRESH_MILLISECONDS) {
      tails.delete(task);
    } else {
      least = Math.min(least, tail);
    }
  }
  return Number.isFinite(least) ? least : newest.tail;
}
