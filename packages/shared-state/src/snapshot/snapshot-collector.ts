import { createHash } from 'node:crypto';

import { TypeCompiler } from '@sinclair/typebox/compiler';

import type { StoredRecord } from '../log/stored-record.js';
import type { SnapshotChunkBody } from '../records/snapshot-chunk-body.js';
import { SnapshotChunkBodySchema } from '../records/snapshot-chunk-body.js';
import type { VerifiedSnapshot } from './verified-snapshot.js';

const chunkCheck = TypeCompiler.Compile(SnapshotChunkBodySchema);

/** Maximum number of incomplete snapshots kept at once. */
const MAXIMUM_INCOMPLETE_SNAPSHOTS = 4;

/** Assembles snapshots from their chunks and keeps the newest verified one. */
export class SnapshotCollector {
  private readonly incomplete = new Map<
    string,
    Map<number, SnapshotChunkBody>
  >();

  private newestVerified: VerifiedSnapshot | undefined;

  public get newest(): VerifiedSnapshot | undefined {
    return this.newestVerified;
  }

  /** Adds a record of any kind; all but valid snapshot chunks are ignored. */
  public add(record: StoredRecord): void {
    const { kind, body } = record.envelope;
    if (kind !== 'snapshot-chunk' || !chunkCheck.Check(body)) {
      return;
    }
    const chunks =
      this.incomplete.get(body.snapshot) ??
      new Map<number, SnapshotChunkBody>();
    chunks.set(body.chunk, body);
    this.incomplete.set(body.snapshot, chunks);
    this.dropOldestIncomplete();
    if (chunks.size === body.chunks) {
      this.incomplete.delete(body.snapshot);
      this.verify(body, chunks);
    }
  }

  private verify(
    last: SnapshotChunkBody,
    chunks: ReadonlyMap<number, SnapshotChunkBody>,
  ): void {
    const ordered = [...chunks.values()].sort(
      (left, right) => left.chunk - right.chunk,
    );
    const text = ordered.map(chunk => chunk.text).join('');
    const digest = createHash('sha256').update(text).digest('hex');
    const isNewer = last.next >= (this.newestVerified?.next ?? 0);
    if (digest === last.digest && isNewer) {
      this.newestVerified = { next: last.next, text };
    }
  }

  private dropOldestIncomplete(): void {
    const oldest = this.incomplete.keys().next();
    if (
      this.incomplete.size > MAXIMUM_INCOMPLETE_SNAPSHOTS &&
      oldest.done !== true
    ) {
      this.incomplete.delete(oldest.value);
    }
  }
}
