import { PeerUnreachableError } from '@basilcourse/foundation/errors/peer-unreachable-error';

import { pause } from '../../src/time/pause.js';

const TRANSIT_MILLISECONDS = 1;

const ANSWER_TIMEOUT_MILLISECONDS = 60;

/** The path from an agent to its fake minion. */
export class FakePath {
  private cutUntil = 0;

  /** Loses all calls and answers for some time. */
  public cut(milliseconds: number): void {
    this.cutUntil = performance.now() + milliseconds;
  }

  /** Whether calls and answers are lost now. */
  public get isCut(): boolean {
    return performance.now() < this.cutUntil;
  }

  /**
   * Waits until a call has arrived.
   *
   * @throws PeerUnreachableError if the call is lost.
   */
  public async carry(): Promise<void> {
    await pause(TRANSIT_MILLISECONDS);
    if (this.isCut) {
      await this.leaveUnanswered();
    }
  }

  /**
   * Waits until the caller gives up.
   *
   * @throws PeerUnreachableError always.
   */
  public async leaveUnanswered(): Promise<never> {
    await pause(ANSWER_TIMEOUT_MILLISECONDS);
    throw new PeerUnreachableError('minion.call', 'fake', 'no answer');
  }
}
