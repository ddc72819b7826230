import type { Static } from '@sinclair/typebox';
import { Type } from '@sinclair/typebox';

/** Maximum length of the part of a snapshot in one record, in characters. */
export const SNAPSHOT_CHUNK_CHARACTERS = 256 * 1024;

/** Maximum number of chunks of one snapshot. */
export const MAXIMUM_SNAPSHOT_CHUNKS = 512;

/** Body of a `snapshot-chunk` record. */
export const SnapshotChunkBodySchema = Type.Object({
  snapshot: Type.Readonly(Type.String({ maxLength: 200 })),
  /** Offset of the first record that the snapshot does not include. */
  next: Type.Readonly(Type.Integer({ minimum: 0 })),
  chunk: Type.Readonly(Type.Integer({ minimum: 0 })),
  chunks: Type.Readonly(
    Type.Integer({ minimum: 1, maximum: MAXIMUM_SNAPSHOT_CHUNKS }),
  ),
  /** SHA-256 of the whole text, hexadecimal. */
  digest: Type.Readonly(Type.String({ maxLength: 64 })),
  text: Type.Readonly(Type.String({ maxLength: SNAPSHOT_CHUNK_CHARACTERS })),
});

export type SnapshotChunkBody = Static<typeof SnapshotChunkBodySchema>;
