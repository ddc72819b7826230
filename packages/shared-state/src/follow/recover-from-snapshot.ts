import { PeerUnreachableError } from '@basilcourse/foundation/errors/peer-unreachable-error';
import * as Effect from 'effect/Effect';

import { StateFold } from '../fold/state-fold.js';
import type { PlatformLog } from '../log/platform-log.js';
import { SnapshotCollector } from '../snapshot/snapshot-collector.js';
import { readSnapshot } from '../snapshot/snapshot-text.js';
import type { SharedState } from './shared-state.js';

/** Maximum number of records requested in one read. */
const RECORDS_PER_READ = 1000;

async function collectSnapshots(
  log: PlatformLog,
  firstKept: number,
): Promise<SnapshotCollector> {
  const collector = new SnapshotCollector();
  let from = firstKept;
  for (;;) {
    const page = await log.read(from, RECORDS_PER_READ);
    for (const record of page.records) {
      collector.add(record);
    }
    if (page.records.length === 0) {
      return collector;
    }
    from = page.next;
  }
}

async function recover(
  log: PlatformLog,
  state: SharedState,
  firstKept: number,
): Promise<boolean> {
  const { newest } = await collectSnapshots(log, firstKept);
  if (newest !== undefined && newest.next >= firstKept) {
    return state.replaceIfNewer(readSnapshot(newest.text));
  }
  if (firstKept === 0) {
    return state.replaceIfNewer(new StateFold());
  }
  throw new Error(`no complete snapshot after offset ${firstKept}`);
}

/**
 * Restores the state from the newest verified snapshot in the log. Needed when
 * retention has dropped the next record to read. Returns whether the state
 * advanced.
 */
export function recoverFromSnapshot(
  log: PlatformLog,
  state: SharedState,
  firstKept: number,
): Effect.Effect<boolean, PeerUnreachableError> {
  return Effect.tryPromise({
    try: () => recover(log, state, firstKept),
    catch: error => new PeerUnreachableError('log.recover', 'log', error),
  });
}
