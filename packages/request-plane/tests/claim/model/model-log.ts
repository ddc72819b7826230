import type { StoredRecord } from '@basilcourse/shared-state/log/stored-record';
import type { Decision } from '@basilcourse/shared-state/records/decision';

import type { TickingClock } from './ticking-clock.js';

const CELL = 'here/0';

/** Workers of the simulation, with one minion each. */
export const MODEL_WORKERS = ['worker-0', 'worker-1', 'worker-2'];

/** Longer than the largest allowed difference between two clocks. */
const PLACEMENT_DELAY_MILLISECONDS = 2000;

const NOTE = `[note]
name = first
operator = tester
based-on = 0
[shape standard]
processors = 16
memory-gigabytes = 64
[team docks]
processors = 64
memory-gigabytes = 256
[service labels]
team = docks
task-kind = label
processors = 4
memory-gigabytes = 8
minions = 3
`;

/** A log with a service of three minions, and its lease holder's decisions. */
export class ModelLog {
  private readonly records: StoredRecord[] = [];

  private readonly attempts = new Map<number, number>();

  public constructor(private readonly clock: TickingClock) {
    this.append('release-note', { operator: 'tester', text: NOTE });
    this.append('lease-claim', {
      cell: CELL,
      holder: 'holder',
      previousEpoch: 0,
      previousRenewals: 0,
    });
    for (const worker of MODEL_WORKERS) {
      this.joinWorker(worker);
    }
  }

  /** Places the minions long after their agents started. */
  public placeMinions(): void {
    this.clock.advance(PLACEMENT_DELAY_MILLISECONDS);
    MODEL_WORKERS.forEach((_, minion) => {
      this.placeMinion(minion);
    });
  }

  public get end(): number {
    return this.records.length;
  }

  public slice(from: number, until: number): readonly StoredRecord[] {
    return this.records.slice(from, until);
  }

  public append(kind: string, body: unknown): void {
    const offset = this.records.length;
    this.records.push({
      offset,
      envelope: {
        id: `record-${offset}`,
        kind,
        version: 1,
        writer: 'holder',
        writtenAt: this.clock.now(),
        body,
      },
    });
  }

  public loseMinion(index: number): void {
    const attemptId = this.attemptOf(index);
    this.decide({ type: 'lose', attemptId, reason: 'silent' });
  }

  public recoverMinion(index: number): void {
    this.decide({ type: 'recover', attemptId: this.attemptOf(index) });
  }

  /** Ends a minion's attempt and places the next one. */
  public replaceMinion(index: number): void {
    this.decide({
      type: 'end',
      attemptId: this.attemptOf(index),
      outcome: 'lapsed',
      checkpoint: '',
      reason: 'lapsed',
    });
    this.placeMinion(index);
  }

  private attemptOf(index: number): string {
    const minion = index % MODEL_WORKERS.length;
    return `service/labels/${minion}#${this.attempts.get(minion) ?? 0}`;
  }

  private placeMinion(index: number): void {
    const minion = index % MODEL_WORKERS.length;
    const attempt = (this.attempts.get(minion) ?? 0) + 1;
    this.attempts.set(minion, attempt);
    this.decide({
      type: 'place',
      task: `service/labels/${minion}`,
      attempt,
      worker: MODEL_WORKERS[minion] ?? '',
      resources: { processors: 4, memoryGigabytes: 8, accelerators: 0 },
      reason: '',
    });
  }

  private joinWorker(worker: string): void {
    this.decide({
      type: 'worker-join',
      description: {
        worker,
        address: worker,
        region: 'here',
        availabilityZone: 'here-1',
        rack: 'rack-1',
        resources: { processors: 16, memoryGigabytes: 64, accelerators: 0 },
      },
    });
  }

  private decide(decision: Decision): void {
    this.append('decisions', { cell: CELL, epoch: 1, decisions: [decision] });
  }
}
