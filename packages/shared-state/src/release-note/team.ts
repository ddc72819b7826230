import type { Resources } from '../records/resources.js';

/** A team and its quota. */
export interface Team {
  readonly name: string;
  readonly quota: Resources;
  /** Weight of the team's share of requests and of borrowed capacity. */
  readonly weight: number;
}
