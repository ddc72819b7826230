import type { SharedState } from '@basilcourse/shared-state/follow/shared-state';
import type { StoredRecord } from '@basilcourse/shared-state/log/stored-record';
import { CONFIGURATION_KINDS } from '@basilcourse/shared-state/records/record-kinds';
import {
  writeConfigurationSnapshot,
  writeSnapshot,
} from '@basilcourse/shared-state/snapshot/snapshot-text';
import type {
  FollowRequest,
  FollowResponse,
} from '@basilcourse/wire/membership_pb';
import {
  FollowResponseSchema,
  RecordService,
} from '@basilcourse/wire/membership_pb';
import { create } from '@bufbuild/protobuf';
import type { ConnectRouter } from '@connectrpc/connect';

import type { RecordBuffer } from './record-buffer.js';

/** Maximum time between two messages to a follower. */
const KEEP_ALIVE_INTERVAL_MILLISECONDS = 1000;

const MAXIMUM_RECORDS_PER_MESSAGE = 500;

/** Dependencies of `recordRoutes`. */
interface RelayDependencies {
  readonly state: SharedState;
  readonly buffer: RecordBuffer;
}

function recordsMessage(
  records: readonly StoredRecord[],
  nextOffset: number,
): FollowResponse {
  return create(FollowResponseSchema, {
    records: records.map(({ offset, envelope }) => ({
      offset: BigInt(offset),
      json: JSON.stringify(envelope),
    })),
    nextOffset: BigInt(nextOffset),
  });
}

function snapshotMessage(
  { state }: RelayDependencies,
  configurationOnly: boolean,
): FollowResponse {
  const write = configurationOnly ? writeConfigurationSnapshot : writeSnapshot;
  return create(FollowResponseSchema, {
    snapshot: Buffer.from(write(state.fold)),
    nextOffset: BigInt(state.fold.next),
  });
}

async function* follow(
  dependencies: RelayDependencies,
  request: FollowRequest,
  signal: AbortSignal,
): AsyncGenerator<FollowResponse> {
  const { state, buffer } = dependencies;
  let next = Number(request.fromOffset);
  while (!signal.aborted) {
    const end = state.fold.next;
    const records = next < end ? buffer.from(next, end) : [];
    if (records === undefined) {
      next = end;
      yield snapshotMessage(dependencies, request.configurationOnly);
      continue;
    }
    const page = records.slice(0, MAXIMUM_RECORDS_PER_MESSAGE);
    const last = page.at(-1)?.offset;
    next = last === undefined ? Math.max(next, end) : last + 1;
    const selected = request.configurationOnly
      ? page.filter(record => CONFIGURATION_KINDS.has(record.envelope.kind))
      : page;
    yield recordsMessage(selected, next);
    if (next >= state.fold.next) {
      await buffer.changed(KEEP_ALIVE_INTERVAL_MILLISECONDS);
    }
  }
}

/** Registers the RPC by which peers follow the log through this process. */
export function recordRoutes(
  dependencies: RelayDependencies,
): (router: ConnectRouter) => void {
  return router => {
    router.service(RecordService, {
      follow: (request, context) =>
        follow(dependencies, request, context.signal),
    });
  };
}
