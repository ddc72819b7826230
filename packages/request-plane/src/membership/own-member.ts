import type { Member } from './member.js';

/** The member that a process says it is. */
export class OwnMember {
  public constructor(private current: Member) {}

  public readonly get = (): Member => this.current;

  /** Changes what the process says of itself, under a new incarnation. */
  public update(changes: Partial<Member>): void {
    const incarnation = this.current.incarnation + 1;
    this.current = { ...this.current, ...changes, incarnation };
  }

  /**
   * Outbids a peer that holds this process for suspect or dead, or knows a
   * later incarnation of it; true when it did.
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
