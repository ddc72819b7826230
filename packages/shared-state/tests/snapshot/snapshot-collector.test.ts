import t from 'tap';

import type { StoredRecord } from '../../src/log/stored-record.js';
import type { SnapshotChunkBody } from '../../src/records/snapshot-chunk-body.js';
import { SNAPSHOT_CHUNK_CHARACTERS } from '../../src/records/snapshot-chunk-body.js';
import { SnapshotCollector } from '../../src/snapshot/snapshot-collector.js';
import { splitSnapshot } from '../../src/snapshot/split-snapshot.js';

const text = 'abcdefg'.repeat(SNAPSHOT_CHUNK_CHARACTERS / 2);

function recordOf(body: SnapshotChunkBody): StoredRecord {
  const id = `${body.snapshot}.${body.chunk}`;
  const envelope = {
    id,
    kind: 'snapshot-chunk',
    version: 1,
    writer: 'w',
    writtenAt: 0,
    body,
  };
  return { offset: 0, envelope };
}

function collect(chunks: readonly SnapshotChunkBody[]): SnapshotCollector {
  const collector = new SnapshotCollector();
  for (const chunk of chunks) {
    collector.add(recordOf(chunk));
  }
  return collector;
}

t.test('chunks in any order and with repetitions give the snapshot', t => {
  const chunks = splitSnapshot('one', 7, text);
  t.ok(chunks.length > 2);
  const shuffled = [...chunks].reverse().flatMap(chunk => [chunk, chunk]);
  t.same(collect(shuffled).newest, { next: 7, text });
  t.end();
});

t.test('an incomplete snapshot is ignored', t => {
  t.equal(collect(splitSnapshot('one', 7, text).slice(1)).newest, undefined);
  t.end();
});

t.test('a corrupt snapshot is rejected and the earlier one is kept', t => {
  const good = splitSnapshot('good', 7, text);
  const bad = splitSnapshot('bad', 9, text).map(chunk =>
    chunk.chunk === 0 ? { ...chunk, text: `X${chunk.text.slice(1)}` } : chunk,
  );
  t.equal(collect([...good, ...bad]).newest?.next, 7);
  t.end();
});

t.test(
  'of two complete snapshots the newer one is kept, in either order',
  t => {
    const older = splitSnapshot('older', 7, 'older');
    const newer = splitSnapshot('newer', 9, 'newer');
    t.equal(collect([...older, ...newer]).newest?.text, 'newer');
    t.equal(collect([...newer, ...older]).newest?.text, 'newer');
    t.end();
  },
);
