import { createHash } from 'node:crypto';

import type { SnapshotChunkBody } from '../records/snapshot-chunk-body.js';
import {
  MAXIMUM_SNAPSHOT_CHUNKS,
  SNAPSHOT_CHUNK_CHARACTERS,
} from '../records/snapshot-chunk-body.js';

/**
 * Splits a snapshot's text into the bodies of its records.
 *
 * @throws RangeError when the text needs more chunks than the maximum.
 */
export function splitSnapshot(
  snapshot: string,
  next: number,
  text: string,
): readonly SnapshotChunkBody[] {
  const chunks = Math.max(
    1,
    Math.ceil(text.length / SNAPSHOT_CHUNK_CHARACTERS),
  );
  if (chunks > MAXIMUM_SNAPSHOT_CHUNKS) {
    throw new RangeError(`snapshot of ${text.length} characters is too large`);
  }
  const digest = createHash('sha256').update(text).digest('hex');
  return Array.from({ length: chunks }, (_, chunk) => {
    const start = chunk * SNAPSHOT_CHUNK_CHARACTERS;
    const part = text.slice(start, start + SNAPSHOT_CHUNK_CHARACTERS);
    return { snapshot, next, chunk, chunks, digest, text: part };
  });
}
