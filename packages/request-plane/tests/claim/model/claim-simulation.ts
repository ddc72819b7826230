import { PeerUnreachableError } from '@basilcourse/foundation/errors/peer-unreachable-error';
import { SharedState } from '@basilcourse/shared-state/follow/shared-state';
import {
  ClaimResponseSchema,
  RecallResponseSchema,
  RecoverResponseSchema,
} from '@basilcourse/wire/request_plane_pb';
import { create } from '@bufbuild/protobuf';
import * as Effect from 'effect/Effect';

import { AgentClaims } from '../../../src/agent/agent-claims.js';
import { EntryClaims } from '../../../src/claim/entry-claims.js';
import { KeyClaimer } from '../../../src/claim/key-claimer.js';
import type { AgentClient } from '../../../src/entry/agent-client.js';
import type { CallerRequest } from '../../../src/entry/caller-request.js';
import type { EntryClient } from '../../../src/entry/entry-client.js';
import { MemberTable } from '../../../src/membership/member-table.js';
import { memoryStartOf } from '../../../src/transport/agent-routes.js';
import type { MessageScheduler } from './message-scheduler.js';
import type { ModelEntry } from './model-entry.js';
import { MODEL_WORKERS, ModelLog } from './model-log.js';
import { modelMember } from './model-member.js';
import { TickingClock } from './ticking-clock.js';

/** Allows a few retries, as each reading of the clock takes a millisecond. */
const CLAIM_TIMEOUT_MILLISECONDS = 20;

const START_MILLISECONDS = 10_000_000;

/** Runs real claimers, memories, registers and folds on simulated messages. */
export class ClaimSimulation {
  public readonly clock = new TickingClock(START_MILLISECONDS);

  public readonly entries: ModelEntry[] = [];

  /** Identifiers of the requests that ran, by key. */
  public readonly runs = new Map<string, string[]>();

  private readonly killedInstances = new Set<string>();

  private readonly claimsByAgent = new Map<string, AgentClaims>();

  /** The log, with the decisions of the cell's lease holder. */
  public readonly log = new ModelLog(this.clock);

  private started = 0;

  public constructor(private readonly scheduler: MessageScheduler) {
    MODEL_WORKERS.forEach((_, index) => {
      this.restartAgent(index);
    });
    this.log.placeMinions();
  }

  /** Starts an entry that has read the log except its last records. */
  public addEntry(unreadRecords: number): void {
    this.started += 1;
    const instance = `entry-${this.started}`;
    this.log.append('entry-joined', { instance, address: instance });
    const state = new SharedState();
    const entryClaims = new EntryClaims(this.clock.now());
    const events = { record: () => undefined };
    const members = new MemberTable(instance, instance, events);
    const clients = {
      agentAt: (worker: string) => this.agentAt(worker),
      entryAt: (address: string) => this.entryAt(address),
      reset: () => undefined,
    };
    const { clock } = this;
    const claimer = new KeyClaimer({
      state,
      members,
      entryClaims,
      clients,
      clock,
      events,
      random: { next: () => 0 },
      instance,
    });
    const entry = { instance, entryClaims, state, members, claimer };
    this.entries.push(entry);
    this.gossip(entry);
    this.readLog(entry, Math.max(1, this.log.end - unreadRecords));
  }

  /** Makes an entry read the log up to an offset. */
  public readLog({ state }: ModelEntry, until: number): void {
    const records = this.log.slice(state.fold.next, until);
    state.applyAll(records, this.log.end);
  }

  public catchUp(entry: ModelEntry): void {
    this.readLog(entry, this.log.end);
  }

  /** Sends an entry the heartbeats of all live processes. */
  public gossip({ members }: ModelEntry): void {
    const now = this.clock.now();
    for (const worker of MODEL_WORKERS) {
      members.applyHeartbeat(modelMember(worker, 'agent'), now);
    }
    for (const { instance } of this.entries) {
      members.applyHeartbeat(modelMember(instance, 'entry'), now);
    }
  }

  /** Stops an entry without a hand-over; its claims are lost. */
  public kill(entry: ModelEntry): void {
    this.killedInstances.add(entry.instance);
    this.entries.splice(this.entries.indexOf(entry), 1);
  }

  /** Replaces an agent by one without any claims. */
  public restartAgent(index: number): void {
    const worker = MODEL_WORKERS[index % MODEL_WORKERS.length] ?? '';
    const agentClaims = new AgentClaims(this.clock.now());
    agentClaims.recordLogEnd(this.log.end, agentClaims.memoryStart);
    this.claimsByAgent.set(worker, agentClaims);
  }

  /**
   * Sends a request under a key through an entry. If it may run, records it as
   * run, or releases the key if `isRun` is false.
   */
  public async send(
    entry: ModelEntry,
    key: string,
    requestId: string,
    isRun: boolean,
  ): Promise<void> {
    const request = this.requestOf(key, requestId);
    const result = await Effect.runPromise(entry.claimer.claim(key, request));
    await this.scheduler.yieldControl();
    if (result.kind !== 'first' || this.killedInstances.has(entry.instance)) {
      return;
    }
    if (!isRun) {
      await Effect.runPromise(entry.claimer.release(key, request));
      return;
    }
    this.runs.set(key, [...(this.runs.get(key) ?? []), requestId]);
  }

  private requestOf(key: string, requestId: string): CallerRequest {
    const now = this.clock.now();
    return {
      requestId,
      service: 'labels',
      method: 'POST',
      path: '/',
      headers: [],
      body: new Uint8Array(),
      team: 'docks',
      unrepeatable: true,
      idempotencyKey: key,
      arrivedAt: now,
      deadline: now + CLAIM_TIMEOUT_MILLISECONDS,
    };
  }

  private agentAt(worker: string): AgentClient {
    const agentClaims = (): AgentClaims =>
      this.claimsByAgent.get(worker) ?? new AgentClaims(this.clock.now());
    const unused = (step: string): Effect.Effect<never, PeerUnreachableError> =>
      Effect.fail(new PeerUnreachableError(step, worker, 'not modelled'));
    return {
      run: () => unused('run'),
      fence: () => unused('fence'),
      claim: (key, requestId) =>
        this.call(worker, () =>
          create(ClaimResponseSchema, {
            outcome: {
              case: 'holderRequestId',
              value: agentClaims().claim(key, requestId, this.clock.now()),
            },
            ...memoryStartOf(agentClaims()),
          }),
        ),
      release: (key, requestId) =>
        this.call(worker, () => {
          agentClaims().release(key, requestId);
        }),
      recover: () =>
        this.call(worker, () =>
          create(RecoverResponseSchema, {
            outcome: { case: 'notKnown', value: true },
          }),
        ),
    };
  }

  private entryAt(instance: string): EntryClient {
    return {
      recall: (key, requestId) =>
        this.call(instance, () => {
          const peer = this.entries.find(entry => entry.instance === instance);
          if (peer === undefined) {
            throw new Error('dead');
          }
          const holder = peer.entryClaims.claim(
            key,
            requestId,
            this.clock.now(),
          );
          return create(RecallResponseSchema, {
            instance,
            holderRequestId: holder === requestId ? '' : holder,
            memoryStartMilliseconds: BigInt(peer.entryClaims.memoryStart),
          });
        }),
      transferClaims: () => Effect.void,
    };
  }

  /** Simulates one call, whose message or answer may be lost. */
  private call<Answer>(
    peer: string,
    answer: () => Answer,
  ): Effect.Effect<Answer, PeerUnreachableError> {
    const fate = this.scheduler.nextFate();
    return Effect.tryPromise({
      try: async () => {
        await this.scheduler.yieldControl();
        if (fate === 'lost') {
          throw new Error('the message was lost');
        }
        const result = answer();
        await this.scheduler.yieldControl();
        if (fate === 'answer-lost') {
          throw new Error('the answer was lost');
        }
        return result;
      },
      catch: error => new PeerUnreachableError('call', peer, error),
    });
  }
}
