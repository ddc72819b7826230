import { BoundedMap } from '@basilcourse/foundation/util/bounded-map';
import type { ImageStatistics } from '@basilcourse/jobs/interference/image-statistics';
import { InterferenceEstimator } from '@basilcourse/jobs/interference/interference-estimator';
import { InterferenceTable } from '@basilcourse/jobs/interference/interference-table';
import { LoadMonitor } from '@basilcourse/jobs/interference/load-monitor';
import { sentSwing } from '@basilcourse/jobs/interference/load-swing';
import { loadOf } from '@basilcourse/jobs/interference/queue-model';
import type { ServingLoad } from '@basilcourse/jobs/interference/serving-load';
import { updateEstimates } from '@basilcourse/jobs/interference/update-estimates';
import type { AgentReport } from '@basilcourse/jobs/model/agent-report';
import { InterferencePredictor } from '@basilcourse/jobs/plan/interference-predictor';
import type { JobTable } from '@basilcourse/jobs/state/job-table';

import type { AgentSession } from './agent-session.js';
import { SentLoads } from './sent-loads.js';
import type { StoredEstimates } from './stored-estimates.js';

/** Number of tasks whose last tail latency is kept. */
const MAXIMUM_TASKS = 20_000;

const LOADS_INTERVAL_MILLISECONDS = 450;

const IMAGES_INTERVAL_MILLISECONDS = 1000;

const UPDATE_INTERVAL_MILLISECONDS = 300;

/** Reports of an agent within this time repeat the same measurements. */
const OBSERVE_INTERVAL_MILLISECONDS = 400;

const STORE_INTERVAL_MILLISECONDS = 4000;

const LOAD_RETENTION_MILLISECONDS = 10_000;

/** Versions of the statistics last sent on a stream, and when. */
interface SentState {
  readonly observedAt: number;
  readonly loadsSentAt: number;
  readonly imagesSentAt: number;
  readonly interferenceVersion: number;
  readonly tailLatencyVersion: number;
  readonly loads: SentLoads;
}

function nothingSent(): SentState {
  return {
    observedAt: Number.NEGATIVE_INFINITY,
    loadsSentAt: Number.NEGATIVE_INFINITY,
    imagesSentAt: Number.NEGATIVE_INFINITY,
    interferenceVersion: 0,
    tailLatencyVersion: 0,
    loads: new SentLoads(),
  };
}

/**
 * Estimates the interference between images from the reports of all agents, and
 * sends the estimates to the agents.
 */
export class InterferenceWatch {
  private readonly interference = new InterferenceTable();

  private readonly estimator = new InterferenceEstimator(this.interference);

  private updatedAt = Number.NEGATIVE_INFINITY;

  private storedAt = Number.NEGATIVE_INFINITY;

  private readonly loads = new LoadMonitor();

  private readonly previousTailLatencies = new BoundedMap<number>(
    MAXIMUM_TASKS,
  );

  private readonly sent = new WeakMap<AgentSession, SentState>();

  /** Whether loads are forecast; if not, that costs no processor time. */
  public get forecasting(): boolean {
    return this.loads.forecasting;
  }

  public set forecasting(forecasting: boolean) {
    this.loads.forecasting = forecasting;
  }

  /** Returns a predictor over the current estimates. */
  public predictor(now: number): InterferencePredictor {
    return new InterferencePredictor(this.interference, this.loads, now);
  }

  /**
   * Updates the estimates from a report, and sends the agent the statistics
   * that it needs for throttling.
   */
  public applyReport(
    table: JobTable,
    session: AgentSession,
    report: AgentReport,
    now: number,
  ): void {
    const { estimator } = this;
    const previous = this.sent.get(session) ?? nothingSent();
    const observedAt = this.observe(table, report, previous, now);
    if (now - this.updatedAt >= UPDATE_INTERVAL_MILLISECONDS) {
      this.updatedAt = now;
      estimator.update();
    }
    const current = this.sendLoads(table, session, report, previous, now);
    const sent = this.sendImages(session, current, now);
    this.sent.set(session, { ...sent, observedAt });
  }

  /** Records the measurements of a report, and returns when that was done. */
  private observe(
    table: JobTable,
    { running }: AgentReport,
    { observedAt }: SentState,
    now: number,
  ): number {
    if (now - observedAt < OBSERVE_INTERVAL_MILLISECONDS) {
      return observedAt;
    }
    const { estimator, loads, previousTailLatencies } = this;
    updateEstimates(
      table,
      estimator,
      loads,
      previousTailLatencies,
      running,
      now,
    );
    return now;
  }

  /** Adopts the estimates of an earlier leader. */
  public adopt({ harms, lowestTails }: ImageStatistics): void {
    harms.forEach(row => {
      this.estimator.adopt(row);
    });
    this.loads.adopt(lowestTails);
  }

  /**
   * Returns all estimates to be stored for the next leader; undefined if that was
   * done a short while ago, or nothing is known yet.
   */
  public estimatesToStore(now: number): StoredEstimates | undefined {
    const isDue = now - this.storedAt >= STORE_INTERVAL_MILLISECONDS;
    if (!isDue || !this.forecasting) {
      return undefined;
    }
    this.storedAt = now;
    const loads = this.loads.snapshot(now);
    if (loads.jobs.length === 0) {
      return undefined;
    }
    const images = {
      harms: this.interference.rowsSince(0),
      lowestTails: this.loads.lowestTailLatenciesSince(0),
    };
    return { images, loads };
  }

  /** Adopts the estimates that an earlier leader stored. */
  public restore({ images, loads }: StoredEstimates): void {
    this.adopt(images);
    this.loads.restore(loads);
  }

  /** Sends changed statistics, at most once per interval. */
  private sendImages(
    session: AgentSession,
    previous: SentState,
    now: number,
  ): SentState {
    if (now - previous.imagesSentAt < IMAGES_INTERVAL_MILLISECONDS) {
      return previous;
    }
    const { interference, loads } = this;
    loads.evictIdle(now, LOAD_RETENTION_MILLISECONDS);
    const images: ImageStatistics = {
      harms: interference.rowsSince(previous.interferenceVersion),
      lowestTails: loads.lowestTailLatenciesSince(previous.tailLatencyVersion),
    };
    if (images.harms.length + images.lowestTails.length > 0) {
      session.send({ kind: 'images', images });
    }
    return {
      ...previous,
      imagesSentAt: now,
      interferenceVersion: interference.version,
      tailLatencyVersion: loads.version,
    };
  }

  private sendLoads(
    table: JobTable,
    session: AgentSession,
    report: AgentReport,
    previous: SentState,
    now: number,
  ): SentState {
    if (now - previous.loadsSentAt < LOADS_INTERVAL_MILLISECONDS) {
      return previous;
    }
    const jobs = new Set(
      report.running
        .map(({ task }) => table.task(task))
        .filter(task => (task?.specification.tailTargetMilliseconds ?? 0) > 0)
        .map(task => task?.jobIdentifier ?? ''),
    );
    const loads = [...jobs].flatMap(
      job => this.loadToSend(job, previous.loads, now) ?? [],
    );
    if (loads.length > 0) {
      session.send({ kind: 'loads', loads });
    }
    return { ...previous, loadsSentAt: now };
  }

  /** Returns the load of a job, unless it is unknown or was sent before. */
  private loadToSend(
    job: string,
    sent: SentLoads,
    now: number,
  ): ServingLoad | undefined {
    const { loads } = this;
    const floor = loads.unloadedTailLatency(job);
    if (floor <= 0) {
      return undefined;
    }
    const swing = loads.swingOf(job, now);
    if (swing === undefined) {
      const tailLatency = loads.predictedIsolatedTailLatency(job, now);
      return { job, floor, load: loadOf(tailLatency, floor) };
    }
    return sent.needsSending(job, swing, floor, now)
      ? { job, floor, load: swing.mean, swing: sentSwing(swing, now) }
      : undefined;
  }
}
