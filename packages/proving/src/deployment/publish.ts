import type { EntryNode } from '@basilcourse/daemon/node/entry-node';
import { callJson } from '@basilcourse/foundation/http/call-json';
import { randomIdentifiers } from '@basilcourse/foundation/identifiers/random-identifiers';

const PUBLISH_TIMEOUT_MILLISECONDS = 15_000;

/** Publishes a release note through an entry, as the command line does. */
export function publish(entry: EntryNode, text: string): Promise<unknown> {
  return callJson({
    step: 'operator.publish',
    address: entry.core.own.get().operatorsAddress,
    method: 'POST',
    path: '/release-notes',
    body: { id: randomIdentifiers.next('note'), text },
    timeoutMilliseconds: PUBLISH_TIMEOUT_MILLISECONDS,
  });
}
