import type { UsageSample } from '../platform/usage-sample.js';
import { InterferenceEstimator } from './interference-estimator.js';
import type { Neighbour } from './neighbour.js';
import { NeighbourHistory } from './neighbour-history.js';
import { UsageModel } from './usage-model.js';

/** Estimates of a lease holder, from the usage samples of its workers. */
export class WorkloadEstimator {
  public readonly usage = new UsageModel();

  public readonly interference = new InterferenceEstimator();

  private readonly histories = new Map<string, NeighbourHistory>();

  private readonly newestSampleTimes = new Map<string, number>();

  /** Records the tasks that run on a worker, by attempt. */
  public recordRunning(
    worker: string,
    byAttempt: ReadonlyMap<string, Neighbour>,
    now: number,
  ): void {
    const history = this.histories.get(worker) ?? new NeighbourHistory();
    history.record(byAttempt, now);
    this.histories.set(worker, history);
  }

  /** Updates the estimates from samples of a worker; skips repeated samples. */
  public recordSamples(worker: string, samples: readonly UsageSample[]): void {
    const newest = this.newestSampleTimes.get(worker) ?? 0;
    const history = this.histories.get(worker);
    for (const sample of samples.filter(({ at }) => at > newest)) {
      this.usage.observe(sample);
      const neighbours = history?.neighboursAt(sample.attempt, sample.at);
      const slowdown = this.usage.slowdownOf(sample);
      if (neighbours !== undefined && slowdown !== undefined) {
        this.interference.observe(sample.taskKind, neighbours, slowdown);
      }
    }
    const times = samples.map(sample => sample.at);
    this.newestSampleTimes.set(worker, Math.max(newest, ...times));
  }

  public removeWorker(worker: string): void {
    this.histories.delete(worker);
    this.newestSampleTimes.delete(worker);
  }
}
