import type { ImageStatistics } from '@basilcourse/jobs/interference/image-statistics';
import { InterferenceTable } from '@basilcourse/jobs/interference/interference-table';
import type { LowestTailLatency } from '@basilcourse/jobs/interference/lowest-tail-latency';
import { VersionedRows } from '@basilcourse/jobs/interference/versioned-rows';

import { ServingLoads } from './serving-loads.js';

/**
 * Stores the image statistics received from leaders. The agent throttles by them
 * and sends them to the next leader, which starts without any.
 */
export class ImageMemory {
  public readonly interference = new InterferenceTable();

  public readonly loads = new ServingLoads();

  private readonly lowestTailLatencies = new VersionedRows<LowestTailLatency>(
    () => true,
  );

  /** Stores changed rows from the leader. */
  public apply({ harms, lowestTails }: ImageStatistics): void {
    this.interference.applyRows(harms);
    for (const row of lowestTails) {
      this.lowestTailLatencies.set(row.image, row);
    }
  }

  /** Returns all stored rows. */
  public statistics(): ImageStatistics {
    return {
      harms: this.interference.rowsSince(0),
      lowestTails: this.lowestTailLatencies.since(0),
    };
  }
}
