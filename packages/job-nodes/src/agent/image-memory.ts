import { HarmTable } from '@basilcourse/jobs/pace/harm-table';
import type { ImageKnowledge } from '@basilcourse/jobs/pace/image-knowledge';
import type { LowestTail } from '@basilcourse/jobs/pace/lowest-tail';
import { VersionedRows } from '@basilcourse/jobs/pace/versioned-rows';

/**
 * Keeps what leaders told of images, for the own pace and to give it back to
 * the next leader, which starts without.
 */
export class ImageMemory {
  public readonly harms = new HarmTable();

  private readonly lowestTails = new VersionedRows<LowestTail>(() => true);

  /** Takes in what has changed. */
  public take({ harms, lowestTails }: ImageKnowledge): void {
    this.harms.take(harms);
    for (const row of lowestTails) {
      this.lowestTails.set(row.image, row);
    }
  }

  /** Returns all that is known. */
  public knowledge(): ImageKnowledge {
    return {
      harms: this.harms.rowsSince(0),
      lowestTails: this.lowestTails.since(0),
    };
  }
}
