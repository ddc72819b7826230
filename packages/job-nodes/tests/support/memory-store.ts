import { PeerUnreachableError } from '@basilcourse/foundation/errors/peer-unreachable-error';
import type { RandomSource } from '@basilcourse/foundation/random/random-source';

import type { LeaderRecord } from '../../src/leadership/leader-record.js';
import { AppendRefusedError } from '../../src/store/append-refused-error.js';
import type { JobStore } from '../../src/store/job-store.js';
import type { LeadershipLog } from '../../src/store/leadership-log.js';
import { recordBytes } from '../../src/store/record-bytes.js';
import type { StoreLimits } from '../../src/store/store-limits.js';
import type { StoredValue } from '../../src/store/stored-value.js';
import { pause } from '../../src/time/pause.js';

/** In-memory replacement of the platform's store, whose answers can be lost. */
export class MemoryStore implements JobStore, LeadershipLog {
  public unavailable = false;

  /** Share of the calls that are executed but not answered. */
  public lostAnswerShare = 0;

  public appends = 0;

  /** Sizes that it accepts; larger records and appends are refused. */
  public limits: StoreLimits = {
    recordBytes: 262_139,
    appendBytes: 2_097_152,
    overheadBytes: 5,
  };

  /** Whether a value is refused, whatever its size. */
  public refuses: (value: StoredValue) => boolean = () => false;

  /** Appends that were refused for what they contain. */
  public refusals = 0;

  private readonly random: RandomSource;

  private readonly values = new Map<string, string>();

  private readonly leaderRecords: LeaderRecord[] = [];

  private epoch = 0;

  private leaderEpoch = 0;

  private nextSequence = 0;

  public constructor(random: RandomSource) {
    this.random = random;
  }

  public open: JobStore['open'] = async epoch => {
    await this.simulateRequest();
    if (epoch < this.epoch) {
      return false;
    }
    this.epoch = epoch;
    this.nextSequence = 0;
    return true;
  };

  public readAll: JobStore['readAll'] = async () => {
    await this.simulateRequest();
    return [...this.values].map(([key, value]) => ({ key, value }));
  };

  public append: JobStore['append'] = async (epoch, sequence, values) => {
    await this.simulateRequest();
    if (epoch < this.epoch) {
      return false;
    }
    this.checkValues(values);
    if (sequence === this.nextSequence) {
      this.nextSequence += 1;
      this.appends += 1;
      values.forEach(value => {
        this.store(value);
      });
    }
    await this.simulateAnswer();
    return true;
  };

  public newest: LeadershipLog['newest'] = async () => {
    await this.simulateRequest();
    return {
      record: this.leaderRecords.at(-1),
      end: this.leaderRecords.length,
    };
  };

  public follow: LeadershipLog['follow'] = async (
    fromOffset,
    waitMilliseconds,
  ) => {
    await this.simulateRequest();
    const until = performance.now() + waitMilliseconds;
    while (
      this.leaderRecords.length <= fromOffset &&
      performance.now() < until
    ) {
      await pause(5);
    }
    const end = this.leaderRecords.length;
    return {
      record: end > fromOffset ? this.leaderRecords.at(-1) : undefined,
      end,
    };
  };

  public claim: LeadershipLog['claim'] = async (record, expectedEnd) => {
    await this.simulateRequest();
    if (expectedEnd !== this.leaderRecords.length) {
      return false;
    }
    this.leaderRecords.push(record);
    await this.simulateAnswer();
    return true;
  };

  public renew: LeadershipLog['renew'] = async record => {
    await this.simulateRequest();
    if (record.epoch < this.leaderEpoch) {
      return false;
    }
    this.leaderEpoch = record.epoch;
    this.leaderRecords.push(record);
    await this.simulateAnswer();
    return true;
  };

  private checkValues(values: readonly StoredValue[]): void {
    const { recordBytes: maximum, appendBytes, overheadBytes } = this.limits;
    const sizes = values.map(recordBytes);
    const total = sizes.reduce((sum, size) => sum + size + overheadBytes, 0);
    const isRefused = values.some(this.refuses);
    const isTooLarge = sizes.some(size => size > maximum);
    if (total > appendBytes || isTooLarge || isRefused) {
      this.refusals += 1;
      throw new AppendRefusedError('store.append', 'memory', 'status 400');
    }
  }

  private store({ key, value }: StoredValue): void {
    if (value === undefined) {
      this.values.delete(key);
    } else {
      this.values.set(key, value);
    }
  }

  private async simulateRequest(): Promise<void> {
    await pause(2);
    if (this.unavailable) {
      throw new PeerUnreachableError('store.call', 'memory', 'down');
    }
  }

  private async simulateAnswer(): Promise<void> {
    if (this.random.next() < this.lostAnswerShare) {
      await pause(30);
      throw new PeerUnreachableError('store.call', 'memory', 'no answer');
    }
  }
}
