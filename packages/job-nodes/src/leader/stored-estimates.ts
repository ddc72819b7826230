import type { ImageStatistics } from '@basilcourse/jobs/interference/image-statistics';
import type { LoadSnapshot } from '@basilcourse/jobs/interference/load-snapshot';

/** What a leader has learned of images and loads, as it is stored. */
export interface StoredEstimates {
  readonly images: ImageStatistics;
  readonly loads: LoadSnapshot;
}
