import type { Clock } from '@basilcourse/foundation/clock/clock';
import { PeerRefusedError } from '@basilcourse/foundation/errors/peer-refused-error';
import { PeerUnreachableError } from '@basilcourse/foundation/errors/peer-unreachable-error';
import type { RandomSource } from '@basilcourse/foundation/random/random-source';
import type { LogPage } from '@basilcourse/shared-state/log/log-page';
import type { PlatformLog } from '@basilcourse/shared-state/log/platform-log';
import type { RecordEnvelope } from '@basilcourse/shared-state/log/record-envelope';
import type { StoredRecord } from '@basilcourse/shared-state/log/stored-record';

import type { LogFaults } from './log-faults.js';
import { HEALTHY_LOG } from './log-faults.js';

const HTTP_TOO_MANY_REQUESTS = 429;

const HTTP_SERVICE_UNAVAILABLE = 503;

const RATE_WINDOW_MILLISECONDS = 1000;

/** An in-memory stand-in for the platform's append-only log. */
export class LogStandIn implements PlatformLog {
  private records: StoredRecord[] = [];

  private firstKept = 0;

  private faults: LogFaults = HEALTHY_LOG;

  private windowStart = 0;

  private appendsInWindow = 0;

  public constructor(
    private readonly clock: Clock,
    private readonly random: RandomSource,
  ) {}

  /** Offset that the next append will be assigned. */
  public get end(): number {
    return this.firstKept + this.records.length;
  }

  public setFaults(faults: Partial<LogFaults>): void {
    this.faults = { ...this.faults, ...faults };
    this.discardOldRecords();
  }

  public readonly append = async (
    envelope: RecordEnvelope,
  ): Promise<number> => {
    await this.delayResponse();
    this.refuseIfDown('log.append');
    this.enforceAppendRate();
    if (this.random.next() < this.faults.refusedShare) {
      throw new PeerUnreachableError('log.append', 'log', 'connection reset');
    }
    const offset = this.end;
    // Stores a copy, so that later changes to the caller's object have no effect.
    const copy = JSON.parse(JSON.stringify(envelope)) as RecordEnvelope;
    this.records.push({ offset, envelope: copy });
    this.discardOldRecords();
    if (this.random.next() < this.faults.lostAnswerShare) {
      throw new PeerUnreachableError('log.append', 'log', 'answer lost');
    }
    return offset;
  };

  public readonly read = async (
    from: number,
    maximum: number,
  ): Promise<LogPage> => {
    await this.delayResponse();
    this.refuseIfDown('log.read');
    const start = Math.max(from, this.firstKept);
    const index = start - this.firstKept;
    const records = this.records.slice(index, index + maximum);
    const next = (records.at(-1)?.offset ?? start - 1) + 1;
    return { records, firstKept: this.firstKept, next, end: this.end };
  };

  private async delayResponse(): Promise<void> {
    const { delayMilliseconds } = this.faults;
    if (delayMilliseconds > 0) {
      await new Promise(resolve => setTimeout(resolve, delayMilliseconds));
    }
  }

  private refuseIfDown(step: string): void {
    if (this.faults.down) {
      throw new PeerRefusedError(
        step,
        'log',
        HTTP_SERVICE_UNAVAILABLE,
        'outage',
      );
    }
  }

  private enforceAppendRate(): void {
    const now = this.clock.now();
    if (now - this.windowStart >= RATE_WINDOW_MILLISECONDS) {
      this.windowStart = now;
      this.appendsInWindow = 0;
    }
    this.appendsInWindow += 1;
    if (this.appendsInWindow > this.faults.appendsPerSecond) {
      const reason = 'over the append rate';
      const status = HTTP_TOO_MANY_REQUESTS;
      throw new PeerRefusedError('log.append', 'log', status, reason);
    }
  }

  private discardOldRecords(): void {
    const excess = this.records.length - this.faults.keptRecords;
    if (excess > 0) {
      this.records = this.records.slice(excess);
      this.firstKept += excess;
    }
  }
}
