import { callHttp } from '@basilcourse/foundation/http/call-http';

import type { JobRequest } from './job-request.js';

/** What a caller knows of a call; `unknown` if it was not told. */
export type CallResult = 'done' | 'refused' | 'absent' | 'unknown';

const DEADLINE_MILLISECONDS = 3000;

const REFUSALS: ReadonlySet<number> = new Set([400, 404, 413, 429, 503]);

const GONE = 410;

/** Calls entries as the users' clients do. */
export class JobCaller {
  private readonly host: string;

  private readonly prefix: string;

  /**
   * @param host - Value of the `Host` header, which selects the queue.
   * @param prefix - Path prefix of the queue.
   */
  public constructor(host: string, prefix: string) {
    this.host = host;
    this.prefix = prefix;
  }

  /** Hands a job in at an entry. */
  public async submit(address: string, job: JobRequest): Promise<CallResult> {
    const body = Buffer.from(JSON.stringify(bodyOf(job)));
    const { status } = await this.call(address, 'POST', job.identifier, body);
    return resultOf(status);
  }

  /** Cancels a job at an entry. */
  public async cancel(
    address: string,
    identifier: string,
  ): Promise<CallResult> {
    const { status } = await this.call(address, 'DELETE', identifier);
    return resultOf(status);
  }

  /** Returns the state of a job; undefined if there was no answer. */
  public async stateOf(
    address: string,
    identifier: string,
  ): Promise<string | undefined> {
    const { status, text } = await this.call(address, 'GET', identifier);
    if (status === GONE) {
      return 'no such job';
    }
    return status === 200
      ? (JSON.parse(text) as { readonly state: string }).state
      : undefined;
  }

  private async call(
    address: string,
    method: 'GET' | 'POST' | 'DELETE',
    identifier: string,
    body?: Buffer,
  ): Promise<{ readonly status: number; readonly text: string }> {
    try {
      const response = await callHttp({
        step: `job.${method}`,
        address,
        method,
        path: this.prefix + identifier,
        headers: {
          host: this.host,
          'content-type': 'application/json',
          'basilcourse-deadline-remaining': String(DEADLINE_MILLISECONDS),
        },
        ...(body === undefined ? {} : { body }),
        timeoutMilliseconds: DEADLINE_MILLISECONDS,
      });
      const text = response.body.toString('utf8');
      return { status: response.status, text };
    } catch {
      return { status: 0, text: '' }; // The caller was told nothing.
    }
  }
}

function resultOf(status: number): CallResult {
  if (status >= 200 && status < 300) {
    return 'done';
  }
  if (status === GONE) {
    return 'absent';
  }
  return REFUSALS.has(status) ? 'refused' : 'unknown';
}

function bodyOf(job: JobRequest): object {
  return {
    specification: job.payload,
    steps: job.steps.map(step => ({
      count: step.tasks,
      cpu: step.processorMillicores,
      task_memory_mb: step.memoryMegabytes,
      estimated_ms: 1000,
      after: step.after,
      checkpointing: step.checkpointing,
      long_running: step.lasting,
    })),
    ...(job.repetitions === 0
      ? {}
      : {
          repetitions: job.repetitions,
          first_run_ms: Date.now(),
          interval_ms: job.intervalMilliseconds,
        }),
  };
}
