import { Agent } from 'node:http';

import type { RandomSource } from '@basilcourse/foundation/random/random-source';

import type { KeyedResult } from './keyed-result.js';
import { sendRequest } from './send-request.js';

/**
 * An open-loop load: each request is sent at its arrival time, whether or not
 * earlier ones have completed.
 */
export interface LoadPlan {
  readonly requests: number;
  readonly requestsPerSecond: number;
  readonly path: string;
  readonly timeoutMilliseconds: number;
  /**
   * Maximum number of requests in flight; further ones are sent late. Without a
   * bound, the number of requests that a fault affects depends on the machine's
   * speed.
   */
  readonly maximumInFlight?: number;
  /** Share of requests that are unrepeatable and carry an idempotency key. */
  readonly unrepeatableShare: number;
  /** Chooses the address of an entry for a request. */
  readonly addressOf: (requestNumber: number) => string;
  readonly random: RandomSource;
  /** Called before each request is sent. */
  readonly beforeRequest?: (requestNumber: number) => void;
}

const MAXIMUM_SOCKETS = 512;

const MILLISECONDS_PER_SECOND = 1000;

async function sendNumberedRequest(
  plan: LoadPlan,
  agent: Agent,
  number: number,
): Promise<KeyedResult> {
  const unrepeatable = plan.random.next() < plan.unrepeatableShare;
  const key = unrepeatable ? `key-${number}` : '';
  const headers = unrepeatable
    ? { 'basilcourse-unrepeatable': 'true', 'idempotency-key': key }
    : {};
  const result = await sendRequest({
    address: plan.addressOf(number),
    path: plan.path,
    body: `body of request ${number}`,
    headers,
    timeoutMilliseconds: plan.timeoutMilliseconds,
    agent,
  });
  return { ...result, key, number };
}

/** Sends a load with exponential inter-arrival times and awaits all results. */
export async function runLoad(plan: LoadPlan): Promise<readonly KeyedResult[]> {
  const agent = new Agent({ keepAlive: true, maxSockets: MAXIMUM_SOCKETS });
  const sent: Promise<KeyedResult>[] = [];
  const inFlight = new Set<Promise<KeyedResult>>();
  const maximumInFlight = plan.maximumInFlight ?? Number.POSITIVE_INFINITY;
  const startedAt = performance.now();
  let dueMilliseconds = 0;
  for (let number = 0; number < plan.requests; number += 1) {
    const exponentialGap = -Math.log(1 - plan.random.next());
    dueMilliseconds +=
      (exponentialGap * MILLISECONDS_PER_SECOND) / plan.requestsPerSecond;
    const waitMilliseconds = startedAt + dueMilliseconds - performance.now();
    if (waitMilliseconds > 1) {
      await new Promise(resolve => setTimeout(resolve, waitMilliseconds));
    }
    while (inFlight.size >= maximumInFlight) {
      await Promise.race(inFlight);
    }
    plan.beforeRequest?.(number);
    const result = sendNumberedRequest(plan, agent, number);
    sent.push(result);
    inFlight.add(result);
    void result.finally(() => inFlight.delete(result));
  }
  const results = await Promise.all(sent);
  agent.destroy();
  return results;
}
