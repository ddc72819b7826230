/** What an upstream announces of itself to the agent on its VM. */
export interface Announcement {
  readonly service: string;
  readonly attempt: string;
  readonly address: string;
  readonly slots: number;
  readonly connections: number;
  readonly leaving: boolean;
}
