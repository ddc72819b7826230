import type { LoadReport } from '@basilcourse/wire/request_plane_pb';
import { AgentService, EntryService } from '@basilcourse/wire/request_plane_pb';
import { createClient } from '@connectrpc/connect';
import * as Effect from 'effect/Effect';

import type { AgentAnswer } from '../entry/agent-answer.js';
import type { AgentClient } from '../entry/agent-client.js';
import type { EntryClient } from '../entry/entry-client.js';
import type { PeerClients } from '../entry/peer-clients.js';
import { callPeer } from './call-peer.js';
import { readOutcome } from './outcome-messages.js';
import type { PeerTransports } from './peer-transports.js';

const MICROSECONDS_PER_MILLISECOND = 1000;

function readLoad(report: LoadReport | undefined): AgentAnswer['load'] {
  return report === undefined
    ? undefined
    : {
        slots: report.slots,
        running: report.running,
        queued: report.queued,
        serviceMilliseconds:
          report.meanServiceMicroseconds / MICROSECONDS_PER_MILLISECOND,
      };
}

function createAgentClient(
  transports: PeerTransports,
  address: string,
): AgentClient {
  const client = createClient(AgentService, transports.to(address));
  return {
    run: request =>
      callPeer('agent.run', address, signal =>
        client.run(request, { signal }),
      ).pipe(
        Effect.map(({ outcome, load }) => ({
          outcome: readOutcome(outcome, address),
          load: readLoad(load),
        })),
      ),
    fence: (requestId, agentInstance) =>
      callPeer('agent.fence', address, signal =>
        client.fence({ requestId, agentInstance }, { signal }),
      ).pipe(Effect.map(({ outcome }) => readOutcome(outcome, address))),
    claim: (claimKey, requestId, attemptId) =>
      callPeer('agent.claim', address, signal =>
        client.claim({ claimKey, requestId, attemptId }, { signal }),
      ),
    release: (claimKey, requestId) =>
      callPeer('agent.release', address, signal =>
        client.release({ claimKey, requestId }, { signal }),
      ).pipe(Effect.asVoid),
    recover: requestId =>
      callPeer('agent.recover', address, signal =>
        client.recover({ requestId }, { signal }),
      ),
  };
}

function createEntryClient(
  transports: PeerTransports,
  address: string,
): EntryClient {
  const client = createClient(EntryService, transports.to(address));
  return {
    recall: (claimKey, requestId) =>
      callPeer('entry.recall', address, signal =>
        client.recall({ claimKey, requestId }, { signal }),
      ),
    transferClaims: (instance, claims, inheritedInstances) =>
      callPeer('entry.hand-over-memory', address, signal =>
        client.handOver(
          {
            instance,
            inheritedInstances: [...inheritedInstances],
            claims: claims.map(({ key, requestId, claimedAt }) => ({
              claimKey: key,
              requestId,
              claimedAtMilliseconds: BigInt(claimedAt),
            })),
          },
          { signal },
        ),
      ).pipe(Effect.asVoid),
  };
}

/** Creates clients for peers over connect-es, one for each address. */
export function createConnectClients(transports: PeerTransports): PeerClients {
  const agents = new Map<string, AgentClient>();
  const entries = new Map<string, EntryClient>();
  return {
    agentAt: address => {
      const client =
        agents.get(address) ?? createAgentClient(transports, address);
      agents.set(address, client);
      return client;
    },
    reset: address => {
      transports.reset(address);
    },
    entryAt: address => {
      const client =
        entries.get(address) ?? createEntryClient(transports, address);
      entries.set(address, client);
      return client;
    },
  };
}
