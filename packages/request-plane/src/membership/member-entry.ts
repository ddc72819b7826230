import type { Member } from './member.js';

/** A member with the data that this process records about it locally. */
export interface MemberEntry {
  readonly member: Member;
  /** Time of the last heartbeat received from the member itself; 0 for none. */
  readonly lastHeartbeatAt: number;
  /** Sequence number of the member's last change within this table. */
  readonly sequence: number;
}
