import type { Resources } from '../records/resources.js';

/** Resources of one kind of worker in the deployment. */
export interface WorkerShape {
  readonly name: string;
  readonly resources: Resources;
}
