/** What an upstream announces about itself to the agent on its VM. */
export interface Announcement {
  readonly service: string;
  readonly attempt: string;
  readonly address: string;
  readonly slots: number;
  readonly connections: number;
  readonly leaving: boolean;
}
