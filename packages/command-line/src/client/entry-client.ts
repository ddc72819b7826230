import { messageOf } from '@basilcourse/foundation/errors/message-of';
import { PeerRefusedError } from '@basilcourse/foundation/errors/peer-refused-error';
import { PeerUnreachableError } from '@basilcourse/foundation/errors/peer-unreachable-error';
import { callJson } from '@basilcourse/foundation/http/call-json';
import type { JsonCall } from '@basilcourse/foundation/http/json-call';

/** Time limit for a call that does not append to the log. */
const READ_TIMEOUT_MILLISECONDS = 5000;

/** Calls the first entry that answers, in the order of the addresses. */
export class EntryClient {
  public constructor(
    private readonly addresses: readonly string[],
    private readonly reportFailure: (message: string) => void,
  ) {}

  /**
   * Reads from the first entry that answers.
   *
   * @throws PeerUnreachableError when no entry answers.
   * @throws PeerRefusedError when an entry refuses the call.
   */
  public get(step: string, path: string): Promise<unknown> {
    return this.call({
      step,
      method: 'GET',
      path,
      timeoutMilliseconds: READ_TIMEOUT_MILLISECONDS,
    });
  }

  /** Sends a call to the first entry that answers. */
  public async call(call: Omit<JsonCall, 'address'>): Promise<unknown> {
    for (const address of this.addresses) {
      try {
        return await callJson({ ...call, address });
      } catch (error) {
        if (error instanceof PeerRefusedError) {
          throw error;
        }
        this.reportFailure(messageOf(error));
      }
    }
    const peers = this.addresses.join(', ');
    throw new PeerUnreachableError(call.step, peers, 'no entry answers');
  }
}
