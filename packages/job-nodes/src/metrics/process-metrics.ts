import { registerGauge } from '@basilcourse/foundation/metrics/register-gauge';
import { Counter, Histogram, Registry } from 'prom-client';

import type { ObservedStep } from './observed-step.js';

const MILLISECONDS_PER_SECOND = 1000;

const BUCKETS_SECONDS = [
  0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30,
];

/** Metrics of one process: log messages, durations of steps, and gauges. */
export class ProcessMetrics {
  private readonly registry = new Registry();

  private readonly sentences = new Counter({
    name: 'basilcourse_log_sentences_total',
    help: 'Sentences of the log by text, also those left out of it.',
    labelNames: ['sentence'],
    registers: [this.registry],
  });

  private readonly steps = new Histogram({
    name: 'basilcourse_step_duration_seconds',
    help: 'Time that steps of the way of a job took, by step and outcome.',
    labelNames: ['step', 'outcome'],
    buckets: BUCKETS_SECONDS,
    registers: [this.registry],
  });

  /** Counts a log message by its text; each decision writes one. */
  public readonly countSentence = (sentence: string): void => {
    this.sentences.inc({ sentence });
  };

  /** Records the outcome and the duration of a step. */
  public readonly observe = (
    step: ObservedStep,
    outcome: string,
    milliseconds: number,
  ): void => {
    const seconds = milliseconds / MILLISECONDS_PER_SECOND;
    this.steps.observe({ step, outcome }, seconds);
  };

  /** Adds a gauge whose value is read at each scrape. */
  public addGauge(name: string, help: string, read: () => number): void {
    registerGauge(this.registry, name, help, read);
  }

  /** Returns all metrics in the text format of Prometheus. */
  public async text(): Promise<string> {
    return this.registry.metrics();
  }
}
