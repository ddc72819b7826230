import type { Member } from './member.js';

/** The state that a process reports about itself. */
export class OwnMember {
  public constructor(private current: Member) {}

  public readonly get = (): Member => this.current;

  /** Changes the reported state and raises the incarnation. */
  public update(changes: Partial<Member>): void {
    const incarnation = this.current.incarnation + 1;
    this.current = { ...this.current, ...changes, incarnation };
  }

  /**
   * Raises the incarnation above the one that a peer reported, if the peer
   * reports this process as suspect or dead, or under another instance, or with
   * a later incarnation.
   *
   * @returns whether the incarnation was raised.
   */
  public refute(reported: Member): boolean {
    const isOtherInstance = reported.instance !== this.current.instance;
    const isSuspected =
      reported.state === 'suspect' || reported.state === 'dead';
    const hasLaterIncarnation = reported.incarnation > this.current.incarnation;
    if (!isSuspected && !hasLaterIncarnation && !isOtherInstance) {
      return false;
    }
    const highest = Math.max(reported.incarnation, this.current.incarnation);
    this.current = { ...this.current, incarnation: highest + 1 };
    return true;
  }
}
