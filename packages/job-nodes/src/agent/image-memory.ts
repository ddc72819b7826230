import type { ImageStatistics } from '@basilcourse/jobs/interference/image-statistics';
import { InterferenceTable } from '@basilcourse/jobs/interference/interference-table';
import type { LowestTailLatency } from '@basilcourse/jobs/interference/lowest-tail-latency';
import { VersionedRows } from '@basilcourse/jobs/interference/versioned-rows';

/**
 * Keeps what leaders told of images, for the own pace and to give it back to
 * the next leader, which starts without.
 */
export class ImageMemory {
  public readonly harms = new InterferenceTable();

  private readonly lowestTails = new VersionedRows<LowestTailLatency>(
    () => true,
  );

  /** Takes in what has changed. */
  public take({ harms, lowestTails }: ImageStatistics): void {
    this.harms.applyRows(harms);
    for (const row of lowestTails) {
      this.lowestTails.set(row.image, row);
    }
  }

  /** Returns all that is known. */
  public knowledge(): ImageStatistics {
    return {
      harms: this.harms.rowsSince(0),
      lowestTails: this.lowestTails.since(0),
    };
  }
}
