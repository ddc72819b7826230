import { messageOf } from '@basilcourse/foundation/errors/message-of';

import { callPeer } from '../http/call-peer.js';
import type { JobAnswer } from '../leader/job-answer.js';
import type { JobCall } from '../leader/job-call.js';
import type { LeaderRecord } from '../leadership/leader-record.js';
import { pause } from '../time/pause.js';
import type { GatewayAnswer } from './gateway-answer.js';
import type { JobGatewayOptions } from './job-gateway-options.js';

/** Pause before the leader is asked again. */
const RETRY_MILLISECONDS = 60;

/** A call without an answer is repeated on another connection after this. */
const CALL_TIMEOUT_MILLISECONDS = 1200;

/** Kept for the way of the answer to the caller. */
const RESERVE_MILLISECONDS = 120;

/** Passes callers' requests to the leader, wherever it is. */
export class JobGateway {
  private readonly options: JobGatewayOptions;

  public constructor(options: JobGatewayOptions) {
    this.options = options;
  }

  /**
   * Asks the leader, again after a change of the leader, until the deadline.
   * Every call may be repeated: jobs are told apart by their identifiers.
   *
   * @param deadlineAt - On the steady clock.
   */
  public async call(call: JobCall, deadlineAt: number): Promise<GatewayAnswer> {
    let sent = false;
    for (;;) {
      const left = this.left(deadlineAt);
      if (left <= 0) {
        return { kind: 'unavailable', sent };
      }
      const local = this.options.localLeader();
      const record = this.options.leaderRecord();
      const answer =
        local === undefined
          ? await this.askRemote(call, record, left)
          : await local.answer(call);
      if (answer !== undefined && answer.kind !== 'not-leading') {
        return answer;
      }
      sent ||= local !== undefined || record !== undefined;
      await pause(Math.min(RETRY_MILLISECONDS, Math.max(1, left)));
    }
  }

  private left(deadlineAt: number): number {
    return deadlineAt - RESERVE_MILLISECONDS - this.options.time.steady();
  }

  private async askRemote(
    call: JobCall,
    record: LeaderRecord | undefined,
    left: number,
  ): Promise<JobAnswer | undefined> {
    if (record === undefined) {
      return undefined;
    }
    const timeout = Math.min(left, CALL_TIMEOUT_MILLISECONDS);
    try {
      return (await callPeer(
        record.address,
        '/call',
        call,
        timeout,
      )) as JobAnswer;
    } catch (error) {
      this.options.logger.warn('The leader did not answer.', {
        kind: call.kind,
        epoch: record.epoch,
        reason: messageOf(error),
      });
      return undefined;
    }
  }
}
