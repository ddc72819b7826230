import type { Member } from './member.js';

/** A member with what only this process knows of it. */
export interface MemberEntry {
  readonly member: Member;
  /** Most recent heartbeat received by this process; 0 for none. */
  readonly lastHeartbeatAt: number;
  /** Number of the change within this process; rises with each. */
  readonly sequence: number;
}
