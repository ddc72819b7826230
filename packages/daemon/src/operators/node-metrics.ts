import { registerGauge } from '@basilcourse/foundation/metrics/register-gauge';
import type { CallerRequest } from '@basilcourse/request-plane/entry/caller-request';
import type { RequestObserver } from '@basilcourse/request-plane/entry/request-observer';
import type { RunOutcome } from '@basilcourse/request-plane/outcome/run-outcome';
import { Counter, Histogram, Registry } from 'prom-client';

const MILLISECONDS_PER_SECOND = 1000;

const DURATION_BUCKETS_SECONDS = [
  0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10,
];

/** Values of an entry that are read on each scrape. */
interface EntryGauges {
  readonly inFlight: () => number;
  readonly retries: () => number;
  readonly crossRegionBytes: () => number;
}

/** Metrics of one node. */
export class NodeMetrics {
  public readonly registry = new Registry();

  public readonly requestObserver: RequestObserver;

  public constructor() {
    const requests = new Counter({
      name: 'basilcourse_requests_total',
      help: 'Requests of callers by service and outcome.',
      labelNames: ['service', 'outcome'],
      registers: [this.registry],
    });
    const durations = new Histogram({
      name: 'basilcourse_request_duration_seconds',
      help: 'Time from the arrival of a request to its answer.',
      labelNames: ['service'],
      buckets: DURATION_BUCKETS_SECONDS,
      registers: [this.registry],
    });
    const refused = new Counter({
      name: 'basilcourse_requests_refused_total',
      help: 'Requests refused before anything was held for them.',
      labelNames: ['status'],
      registers: [this.registry],
    });
    this.requestObserver = {
      ended: (
        request: CallerRequest,
        outcome: RunOutcome,
        milliseconds: number,
      ) => {
        const { service } = request;
        requests.inc({ service, outcome: outcome.kind });
        durations.observe({ service }, milliseconds / MILLISECONDS_PER_SECOND);
      },
      refused: status => {
        refused.inc({ status });
      },
    };
  }

  /** Registers a gauge whose value is read on each scrape. */
  public registerGauge(name: string, help: string, read: () => number): void {
    registerGauge(this.registry, name, help, read);
  }

  public registerEntryGauges(gauges: EntryGauges): void {
    this.registerGauge(
      'requests_in_flight',
      'Requests that wait for their answer.',
      gauges.inFlight,
    );
    this.registerGauge('retries', 'Retries sent so far.', gauges.retries);
    this.registerGauge(
      'cross_region_bytes',
      'Bytes of requests and answers to other regions so far.',
      gauges.crossRegionBytes,
    );
  }
}
