import { messageOf } from '@basilcourse/foundation/errors/message-of';
import { neverConnected } from '@basilcourse/foundation/errors/never-connected';

import { callPeer } from '../http/call-peer.js';
import type { JobAnswer } from '../leader/job-answer.js';
import type { JobCall } from '../leader/job-call.js';
import type { LeaderRecord } from '../leadership/leader-record.js';
import type { CallMessage } from '../lines/call-message.js';
import { pause } from '../time/pause.js';
import type { CallOutcome } from './call-outcome.js';
import type { JobGatewayOptions } from './job-gateway-options.js';

/** Delay before the leader is called again. */
const RETRY_DELAY_MILLISECONDS = 60;

/** A call without an answer is repeated on another connection after this. */
const CALL_TIMEOUT_MILLISECONDS = 1200;

/** Reserved for sending the response to the caller. */
const RESPONSE_TIME_MILLISECONDS = 120;

type TryAnswer = JobAnswer | { readonly kind: 'not-sent' | 'no-answer' };

type FinalAnswer = Exclude<CallOutcome, { readonly kind: 'unavailable' }>;

/** Answers after which the leader is called again. */
const NOT_FINAL: ReadonlySet<TryAnswer['kind']> = new Set([
  'not-sent',
  'not-leading',
  'no-answer',
  'unknown',
]);

function isFinal(answer: TryAnswer): answer is FinalAnswer {
  return !NOT_FINAL.has(answer.kind);
}

/** Answer to one try, and the epoch of the leader that was called. */
interface TryResult {
  readonly epoch: number;
  readonly answer: TryAnswer;
}

/** Forwards callers' requests to the entry that is the leader. */
export class JobGateway {
  private readonly options: JobGatewayOptions;

  public constructor(options: JobGatewayOptions) {
    this.options = options;
  }

  /**
   * Calls the leader, with retries after a change of leader, until the
   * deadline. Calls may be repeated, as a job is recognised by its identifier.
   *
   * A leader that did not answer a try may still act on it, so its refusal of a
   * later try is not returned to the caller. The refusal of a later leader is
   * returned, since that leader has fenced all writes of earlier leaders.
   *
   * @param deadlineAt - In milliseconds of the monotonic clock.
   */
  public async call(call: JobCall, deadlineAt: number): Promise<CallOutcome> {
    const unansweredEpochs = new Set<number>();
    let sent = false;
    for (;;) {
      const remaining = this.remainingMilliseconds(deadlineAt);
      if (remaining <= 0) {
        return { kind: 'unavailable', sent };
      }
      const { epoch, answer } = await this.callLeader(call, remaining);
      if (answer.kind === 'no-answer') {
        unansweredEpochs.add(epoch);
      }
      sent ||= answer.kind === 'no-answer' || answer.kind === 'unknown';
      const mayStillAct = unansweredEpochs.has(epoch);
      if (isFinal(answer) && !(answer.kind === 'refused' && mayStillAct)) {
        return answer;
      }
      await pause(Math.min(RETRY_DELAY_MILLISECONDS, Math.max(1, remaining)));
    }
  }

  private remainingMilliseconds(deadlineAt: number): number {
    return deadlineAt - RESPONSE_TIME_MILLISECONDS - this.options.time.steady();
  }

  private async callLeader(
    call: JobCall,
    remaining: number,
  ): Promise<TryResult> {
    const local = this.options.localLeader();
    if (local !== undefined) {
      return { epoch: local.epoch, answer: await local.answer(call) };
    }
    const record = this.options.leaderRecord();
    return record === undefined
      ? { epoch: 0, answer: { kind: 'not-sent' } }
      : {
          epoch: record.epoch,
          answer: await this.callRemoteLeader(call, record, remaining),
        };
  }

  private async callRemoteLeader(
    call: JobCall,
    { address, epoch }: LeaderRecord,
    remaining: number,
  ): Promise<TryAnswer> {
    const timeout = Math.min(remaining, CALL_TIMEOUT_MILLISECONDS);
    const message: CallMessage = { epoch, call };
    try {
      return (await callPeer(address, '/call', message, timeout)) as JobAnswer;
    } catch (error) {
      this.options.logger.warn('The leader did not answer.', {
        kind: call.kind,
        epoch,
        reason: messageOf(error),
      });
      return { kind: neverConnected(error) ? 'not-sent' : 'no-answer' };
    }
  }
}
