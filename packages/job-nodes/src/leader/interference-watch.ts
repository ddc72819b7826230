import { BoundedMap } from '@basilcourse/foundation/util/bounded-map';
import type { ImageStatistics } from '@basilcourse/jobs/interference/image-statistics';
import { InterferenceEstimator } from '@basilcourse/jobs/interference/interference-estimator';
import { InterferenceTable } from '@basilcourse/jobs/interference/interference-table';
import { LoadMonitor } from '@basilcourse/jobs/interference/load-monitor';
import { loadOf } from '@basilcourse/jobs/interference/queue-model';
import { updateEstimates } from '@basilcourse/jobs/interference/update-estimates';
import type { AgentReport } from '@basilcourse/jobs/model/agent-report';
import { InterferencePredictor } from '@basilcourse/jobs/plan/interference-predictor';
import type { JobTable } from '@basilcourse/jobs/state/job-table';

import type { AgentSession } from './agent-session.js';

/** Tasks whose last tail is remembered. */
const MOST_TASKS = 20_000;

const LOADS_EVERY_MILLISECONDS = 450;

const IMAGES_EVERY_MILLISECONDS = 1000;

const UPDATE_EVERY_MILLISECONDS = 300;

const KEEP_MILLISECONDS = 10_000;

/** What an agent was told on its present stream. */
interface Told {
  readonly loadsAt: number;
  readonly imagesAt: number;
  readonly harmVersion: number;
  readonly tailVersion: number;
}

const NOTHING_TOLD: Told = {
  loadsAt: Number.NEGATIVE_INFINITY,
  imagesAt: Number.NEGATIVE_INFINITY,
  harmVersion: 0,
  tailVersion: 0,
};

/** Learns from all agents how images harm each other, and tells them. */
export class InterferenceWatch {
  private readonly harms = new InterferenceTable();

  private readonly learner = new InterferenceEstimator(this.harms);

  private updatedAt = Number.NEGATIVE_INFINITY;

  private readonly loads = new LoadMonitor();

  private readonly tails = new BoundedMap<number>(MOST_TASKS);

  private readonly told = new WeakMap<AgentSession, Told>();

  /** Returns what is known by now. */
  public estimate(now: number): InterferencePredictor {
    return new InterferencePredictor(this.harms, this.loads, now);
  }

  /** Learns from a report, and tells its agent what it needs to pace. */
  public learn(
    table: JobTable,
    session: AgentSession,
    report: AgentReport,
    now: number,
  ): void {
    const { learner, loads, tails } = this;
    updateEstimates(table, learner, loads, tails, report.running, now);
    if (now - this.updatedAt >= UPDATE_EVERY_MILLISECONDS) {
      this.updatedAt = now;
      learner.update();
    }
    const before = this.told.get(session) ?? NOTHING_TOLD;
    const told = this.tellLoads(table, session, report, before, now);
    this.told.set(session, this.tellImages(session, told, now));
  }

  /** Takes over what an earlier leader learned. */
  public adopt({ harms, lowestTails }: ImageStatistics): void {
    harms.forEach(row => {
      this.learner.adopt(row);
    });
    this.loads.adopt(lowestTails);
  }

  /** Tells what has changed since the last time. */
  private tellImages(session: AgentSession, told: Told, now: number): Told {
    if (now - told.imagesAt < IMAGES_EVERY_MILLISECONDS) {
      return told;
    }
    const { harms, loads } = this;
    loads.evictIdle(now, KEEP_MILLISECONDS);
    const images: ImageStatistics = {
      harms: harms.rowsSince(told.harmVersion),
      lowestTails: loads.lowestTailLatenciesSince(told.tailVersion),
    };
    if (images.harms.length + images.lowestTails.length > 0) {
      session.send({ kind: 'images', images });
    }
    return {
      ...told,
      imagesAt: now,
      harmVersion: harms.version,
      tailVersion: loads.version,
    };
  }

  private tellLoads(
    table: JobTable,
    session: AgentSession,
    report: AgentReport,
    told: Told,
    now: number,
  ): Told {
    if (now - told.loadsAt < LOADS_EVERY_MILLISECONDS) {
      return told;
    }
    const jobs = new Set(
      report.running
        .map(({ task }) => table.task(task))
        .filter(entry => (entry?.specification.tailTargetMilliseconds ?? 0) > 0)
        .map(entry => entry?.jobIdentifier ?? ''),
    );
    const loads = [...jobs].map(job => {
      const floor = this.loads.unloadedTailLatency(job);
      const ahead = this.loads.predictedIsolatedTailLatency(job, now);
      return { job, floor, load: loadOf(ahead, floor) };
    });
    const known = loads.filter(({ floor }) => floor > 0);
    if (known.length > 0) {
      session.send({ kind: 'loads', loads: known });
    }
    return { ...told, loadsAt: now };
  }
}
