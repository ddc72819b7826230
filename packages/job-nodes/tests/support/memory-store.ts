import { PeerUnreachableError } from '@basilcourse/foundation/errors/peer-unreachable-error';
import type { RandomSource } from '@basilcourse/foundation/random/random-source';

import type { LeaderRecord } from '../../src/leadership/leader-record.js';
import type { JobStore } from '../../src/store/job-store.js';
import type { LeadershipLog } from '../../src/store/leadership-log.js';
import type { StoredValue } from '../../src/store/stored-value.js';
import { pause } from '../../src/time/pause.js';

/** The platform's store, in memory, with answers that get lost. */
export class MemoryStore implements JobStore, LeadershipLog {
  public down = false;

  /** Share of the calls that are carried out and not answered. */
  public lostShare = 0;

  public appends = 0;

  private readonly random: RandomSource;

  private readonly values = new Map<string, string>();

  private readonly leaders: LeaderRecord[] = [];

  private epoch = 0;

  private leaderEpoch = 0;

  private nextSequence = 0;

  public constructor(random: RandomSource) {
    this.random = random;
  }

  public open: JobStore['open'] = async epoch => {
    await this.way();
    if (epoch < this.epoch) {
      return false;
    }
    this.epoch = epoch;
    this.nextSequence = 0;
    return true;
  };

  public readAll: JobStore['readAll'] = async () => {
    await this.way();
    return [...this.values].map(([key, value]) => ({ key, value }));
  };

  public append: JobStore['append'] = async (epoch, sequence, values) => {
    await this.way();
    if (epoch < this.epoch) {
      return false;
    }
    if (sequence === this.nextSequence) {
      this.nextSequence += 1;
      this.appends += 1;
      values.forEach(value => {
        this.store(value);
      });
    }
    await this.wayBack();
    return true;
  };

  public newest: LeadershipLog['newest'] = async () => {
    await this.way();
    return { record: this.leaders.at(-1), end: this.leaders.length };
  };

  public follow: LeadershipLog['follow'] = async (from, waitMilliseconds) => {
    await this.way();
    const until = performance.now() + waitMilliseconds;
    while (this.leaders.length <= from && performance.now() < until) {
      await pause(5);
    }
    const end = this.leaders.length;
    return { record: end > from ? this.leaders.at(-1) : undefined, end };
  };

  public claim: LeadershipLog['claim'] = async (record, at) => {
    await this.way();
    if (at !== this.leaders.length) {
      return false;
    }
    this.leaders.push(record);
    await this.wayBack();
    return true;
  };

  public renew: LeadershipLog['renew'] = async record => {
    await this.way();
    if (record.epoch < this.leaderEpoch) {
      return false;
    }
    this.leaderEpoch = record.epoch;
    this.leaders.push(record);
    await this.wayBack();
    return true;
  };

  private store({ key, value }: StoredValue): void {
    if (value === undefined) {
      this.values.delete(key);
    } else {
      this.values.set(key, value);
    }
  }

  private async way(): Promise<void> {
    await pause(2);
    if (this.down) {
      throw new PeerUnreachableError('store.call', 'memory', 'down');
    }
  }

  private async wayBack(): Promise<void> {
    if (this.random.next() < this.lostShare) {
      await pause(30);
      throw new PeerUnreachableError('store.call', 'memory', 'no answer');
    }
  }
}
