import type { SoakDeployment } from './soak-deployment.js';

/** Something that is done to a part of the deployment from outside. */
export interface Trouble {
  /** Parts of one kind, of which one at a time has a trouble. */
  readonly target: 'leader' | 'entry' | 'agent' | 'minion' | 'store' | 'all';
  /**
   * Does it, and ends it.
   *
   * @param number - Number of the part among those of its kind.
   */
  readonly cause: (
    deployment: SoakDeployment,
    number: number,
    milliseconds: number,
  ) => Promise<void>;
}
