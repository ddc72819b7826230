import type { EventRecorder } from '@basilcourse/foundation/events/event-recorder';

import type { Member } from './member.js';
import type { MemberEntry } from './member-entry.js';
import { supersedes } from './supersedes.js';

/** Mean time between two heartbeats of a process to the same peer. */
export const HEARTBEAT_INTERVAL_MILLISECONDS = 1000;

/** Time without a heartbeat after which a member becomes suspect. */
export const SUSPICION_TIMEOUT_MILLISECONDS = 2500;

/** Time without a heartbeat after which one observer declares a member dead. */
const SINGLE_OBSERVER_TIMEOUT_MILLISECONDS = 8000;

/**
 * Number of processes that must miss a member's heartbeats for it to be dead.
 */
const OBSERVERS_TO_DECLARE_DEAD = 2;

/** Time to keep a dead member, so that late reports do not add it again. */
const DEAD_MEMBER_RETENTION_MILLISECONDS = 600_000;

/** Maximum number of members in the table; further ones are ignored. */
const MAXIMUM_MEMBERS = 20_000;

/**
 * Membership table of one process, with failure detection. A member that stops
 * its heartbeats becomes suspect. It is declared dead once two processes miss
 * its heartbeats, or one process misses them for a longer time.
 */
export class MemberTable {
  private readonly entries = new Map<string, MemberEntry>();

  /**
   * Members that peers report as suspect or dead while this process receives
   * their heartbeats.
   */
  private readonly suspectedByPeers = new Set<string>();

  private lastSequence = 0;

  private readonly changedAt = new Map<string, number>();

  public constructor(
    private readonly ownId: string,
    private readonly ownInstance: string,
    private readonly events: EventRecorder,
  ) {}

  public get all(): readonly MemberEntry[] {
    return [...this.entries.values()];
  }

  /** Sequence number of the most recent change. */
  public get sequence(): number {
    return this.lastSequence;
  }

  public find(id: string): MemberEntry | undefined {
    return this.entries.get(id);
  }

  /** Members of a role that are not dead. */
  public ofRole(role: Member['role']): readonly MemberEntry[] {
    return this.all.filter(
      ({ member }) => member.role === role && member.state !== 'dead',
    );
  }

  /**
   * Records a heartbeat that the member itself sent.
   *
   * @returns the member as this process sees it, to be sent back to it.
   */
  public applyHeartbeat(member: Member, now: number): Member {
    const current = this.entries.get(member.id);
    if (current === undefined || supersedes(member, current.member)) {
      this.store(member, now, now);
      return member;
    }
    const updated = this.clearsSuspicion(current.member, member)
      ? { ...current.member, state: member.state, suspectedBy: [] }
      : current.member;
    if (updated === current.member) {
      this.entries.set(member.id, { ...current, lastHeartbeatAt: now });
    } else {
      this.store(updated, now, now);
    }
    // Reports the suspicion to the member, which then raises its incarnation
    // and thereby overrides the reports of the peers.
    return this.suspectedByPeers.delete(member.id)
      ? { ...updated, state: 'suspect' }
      : updated;
  }

  /** Merges the member states that another process reports. */
  public merge(members: readonly Member[], now: number): void {
    for (const member of members.filter(({ id }) => id !== this.ownId)) {
      const current = this.entries.get(member.id);
      if (
        current !== undefined &&
        this.isContradictedByHeartbeat(current, member, now)
      ) {
        this.suspectedByPeers.add(member.id);
      } else if (current === undefined || supersedes(member, current.member)) {
        this.store(member, current?.lastHeartbeatAt ?? 0, now);
      } else if (this.isSameIncarnation(current.member, member)) {
        this.addObservers(current, member, now);
      }
    }
  }

  /**
   * Suspects members whose heartbeats to this process have stopped, and removes
   * members that have been dead for the retention period.
   */
  public sweep(now: number): void {
    for (const entry of this.all) {
      const { member, lastHeartbeatAt } = entry;
      const sinceHeartbeat = now - lastHeartbeatAt;
      if (this.hasRetentionExpired(member, now)) {
        this.entries.delete(member.id);
        this.changedAt.delete(member.id);
        this.suspectedByPeers.delete(member.id);
        continue;
      }
      const sendsHeartbeatsHere =
        lastHeartbeatAt > 0 && member.state !== 'dead';
      if (
        !sendsHeartbeatsHere ||
        sinceHeartbeat < SUSPICION_TIMEOUT_MILLISECONDS
      ) {
        continue;
      }
      this.suspect(entry, sinceHeartbeat, now);
    }
  }

  /** Members that changed after the given sequence number. */
  public changesSince(sequence: number): readonly Member[] {
    return this.all
      .filter(entry => entry.sequence > sequence)
      .map(entry => entry.member);
  }

  private suspect(
    entry: MemberEntry,
    sinceHeartbeat: number,
    now: number,
  ): void {
    const { member } = entry;
    const observers = new Set([...member.suspectedBy, this.ownInstance]);
    const isDead =
      observers.size >= OBSERVERS_TO_DECLARE_DEAD ||
      sinceHeartbeat >= SINGLE_OBSERVER_TIMEOUT_MILLISECONDS;
    const state = isDead ? 'dead' : 'suspect';
    const changed =
      state !== member.state || observers.size > member.suspectedBy.length;
    if (changed) {
      const suspectedBy = [...observers];
      this.store({ ...member, state, suspectedBy }, entry.lastHeartbeatAt, now);
    }
  }

  private addObservers(
    entry: MemberEntry,
    reported: Member,
    now: number,
  ): void {
    const { member } = entry;
    const observers = new Set([...member.suspectedBy, ...reported.suspectedBy]);
    if (
      member.state === 'dead' ||
      observers.size === member.suspectedBy.length
    ) {
      return;
    }
    const isDead =
      member.state === 'suspect' && observers.size >= OBSERVERS_TO_DECLARE_DEAD;
    const state = isDead ? 'dead' : member.state;
    const suspectedBy = [...observers];
    this.store({ ...member, state, suspectedBy }, entry.lastHeartbeatAt, now);
  }

  private clearsSuspicion(current: Member, next: Member): boolean {
    return current.state === 'suspect' && this.isSameIncarnation(current, next);
  }

  /**
   * Returns whether a report that a member is down is contradicted by a recent
   * heartbeat of the same incarnation to this process.
   */
  private isContradictedByHeartbeat(
    { member, lastHeartbeatAt }: MemberEntry,
    next: Member,
    now: number,
  ): boolean {
    const isDown = next.state === 'suspect' || next.state === 'dead';
    const isFresh = now - lastHeartbeatAt < SUSPICION_TIMEOUT_MILLISECONDS;
    const isAlive = member.state === 'alive';
    return isDown && isFresh && isAlive && this.isSameIncarnation(member, next);
  }

  private isSameIncarnation(left: Member, right: Member): boolean {
    return (
      left.instance === right.instance && left.incarnation === right.incarnation
    );
  }

  private hasRetentionExpired(member: Member, now: number): boolean {
    const changedAt = this.changedAt.get(member.id) ?? now;
    return (
      member.state === 'dead' &&
      now - changedAt > DEAD_MEMBER_RETENTION_MILLISECONDS
    );
  }

  private store(member: Member, lastHeartbeatAt: number, now: number): void {
    const current = this.entries.get(member.id);
    if (current === undefined && this.entries.size >= MAXIMUM_MEMBERS) {
      return;
    }
    this.lastSequence += 1;
    const sequence = this.lastSequence;
    this.entries.set(member.id, { member, lastHeartbeatAt, sequence });
    this.changedAt.set(member.id, now);
    this.recordStateChange(member, current?.member);
  }

  private recordStateChange(
    member: Member,
    previous: Member | undefined,
  ): void {
    if (
      member.state === previous?.state &&
      member.instance === previous.instance
    ) {
      return;
    }
    const kinds = {
      alive: 'member-joined',
      suspect: 'member-suspected',
      leaving: 'member-leaving',
      dead: 'member-dead',
    } as const;
    const text = `${member.role} ${member.id} is ${member.state}.`;
    this.events.record(kinds[member.state], text, { worker: member.worker });
  }
}
