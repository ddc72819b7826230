import { messageOf } from '@basilcourse/foundation/errors/message-of';

import type { LeadershipPage } from '../store/leadership-page.js';
import { pause } from '../time/pause.js';
import { shouldClaim } from './decide-claim.js';
import { smallCandidateDelay } from './decide-hand-over.js';
import type { LeaderRecord } from './leader-record.js';
import type { LeadershipOptions } from './leadership-options.js';
import { LeadershipTerm } from './leadership-term.js';

const RENEWAL_INTERVAL_MILLISECONDS = 500;

const FOLLOW_TIMEOUT_MILLISECONDS = 400;

/** Follow timeout without a leader; short, so that a claim is not delayed. */
const VACANCY_TIMEOUT_MILLISECONDS = 50;

const RETRY_DELAY_MILLISECONDS = 200;

/** A candidate delays its claim by this many round trips to the log. */
const CLAIM_DELAY_FACTOR = 3;

const MAXIMUM_CLAIM_DELAY_MILLISECONDS = 400;

/** Follows the leadership log, claims leadership, and renews the lease. */
export class Leadership {
  /** Newest record read or received. */
  public record: LeaderRecord | undefined;

  /** Delay of a claim, by which candidates nearer to the log claim earlier. */
  private claimDelayMilliseconds = 0;

  private readonly options: LeadershipOptions;

  /** Offset that follows the newest record read. */
  private end = 0;

  private recordReadAt = 0;

  private readonly term = new LeadershipTerm();

  private resigning = false;

  private readonly stopping = new AbortController();

  private terminatedIncarnation = '';

  private hasReadNewest = false;

  public constructor(options: LeadershipOptions) {
    this.options = options;
  }

  /** Whether this process is the leader and its lease has not expired. */
  public isValid(): boolean {
    return this.term.isValid(this.options.time.steady());
  }

  /** Records that the process of a current or former leader has terminated. */
  public recordTermination(incarnation: string): void {
    this.terminatedIncarnation = incarnation;
  }

  /** Applies a leader record received from another process, if it is newer. */
  public observeLeader(record: LeaderRecord): void {
    if (!this.term.leading && record.epoch > (this.record?.epoch ?? 0)) {
      this.applyRecord(record);
    }
  }

  /** Stops acting as the leader without appending a record to the log. */
  public relinquish(reason: string): void {
    if (!this.term.leading) {
      return;
    }
    this.term.leading = false;
    this.hasReadNewest = false;
    this.options.logger.warn('This process leads no more.', { reason });
    this.options.onLost(reason);
  }

  /** Stops the loop of `run`. */
  public stop(): void {
    this.stopping.abort();
  }

  /** Follows, claims and renews until stopped. */
  public async run(): Promise<void> {
    while (!this.stopping.signal.aborted) {
      try {
        await this.step();
      } catch (error) {
        this.options.logger.warn('The log of leaders did not answer.', {
          reason: messageOf(error),
          leading: this.term.leading,
        });
        if (this.term.isLost(this.options.time.steady())) {
          this.relinquish('the log was away for too long');
        }
        await pause(RETRY_DELAY_MILLISECONDS);
      }
    }
  }

  /** Resigns if this process is the leader; it never claims again. */
  public async resign(): Promise<void> {
    this.resigning = true;
    await this.giveUp('this process stops');
  }

  /** Stops acting as the leader, and tells all that there is none. */
  private async giveUp(reason: string): Promise<void> {
    if (!this.term.leading || this.record === undefined) {
      return;
    }
    const record = { ...this.record, resigned: true };
    this.relinquish(reason);
    this.term.sequence += 1;
    try {
      await this.options.log.renew(record, this.term.sequence);
    } catch (error) {
      this.options.logger.warn('The lead could not be given up.', {
        reason: messageOf(error),
      });
    }
  }

  private async step(): Promise<void> {
    if (this.term.leading) {
      await this.renew();
      return;
    }
    if (!this.hasReadNewest) {
      await this.readNewest();
    } else {
      this.applyPage(await this.options.log.follow(this.end, this.waitTime()));
    }
    if (!this.resigning && this.shouldClaimNow()) {
      await this.claim();
    }
  }

  private async readNewest(): Promise<void> {
    const { log, time } = this.options;
    const sentAt = time.steady();
    const page = await log.newest();
    const roundTripMilliseconds = time.steady() - sentAt;
    this.claimDelayMilliseconds = Math.min(
      MAXIMUM_CLAIM_DELAY_MILLISECONDS,
      roundTripMilliseconds * CLAIM_DELAY_FACTOR,
    );
    this.applyPage(page);
    this.hasReadNewest = true;
  }

  private waitTime(): number {
    const vacant = this.record?.resigned !== false || this.isLeaderTerminated();
    return vacant ? VACANCY_TIMEOUT_MILLISECONDS : FOLLOW_TIMEOUT_MILLISECONDS;
  }

  private isLeaderTerminated(): boolean {
    return this.record?.life === this.terminatedIncarnation;
  }

  private shouldClaimNow(): boolean {
    const { name, incarnation, time, ownCores, mostCores } = this.options;
    const mayClaim = this.term.mayClaim(time.steady());
    return (
      mayClaim &&
      shouldClaim({
        record: this.record,
        sinceRecordMilliseconds: time.steady() - this.recordReadAt,
        ownName: name,
        ownIncarnation: incarnation,
        leaderTerminated: this.isLeaderTerminated(),
        claimDelayMilliseconds:
          this.claimDelayMilliseconds +
          smallCandidateDelay(ownCores, mostCores()),
      })
    );
  }

  private async claim(): Promise<void> {
    const { name, incarnation: life, address, log, time } = this.options;
    // The claim's offset is unique and higher than that of any earlier claim;
    // the newest record may be a late renewal that follows a newer claim.
    const epoch = this.end + 1;
    const record = { epoch, name, life, address, resigned: false };
    const sentAt = time.steady();
    const claimed = await log.claim(record, this.end);
    if (!claimed) {
      this.hasReadNewest = false;
      return;
    }
    this.term.begin(sentAt);
    this.applyRecord(record);
    this.options.logger.info('This process leads.', { epoch });
    this.options.onAcquired(epoch);
  }

  private async renew(): Promise<void> {
    const { log, time } = this.options;
    if (this.term.sequence > 0) {
      await pause(RENEWAL_INTERVAL_MILLISECONDS);
    }
    const { record } = this;
    if (!this.term.leading || record === undefined) {
      return;
    }
    const sentAt = time.steady();
    const sequence = this.term.sequence + 1;
    const renewed = await log.renew(record, sequence);
    if (renewed) {
      this.term.renew(sequence, sentAt);
      await this.handOverIfSmall();
    } else {
      this.relinquish('another process leads');
    }
  }

  private async handOverIfSmall(): Promise<void> {
    const { time, ownCores, mostCores } = this.options;
    const now = time.steady();
    if (this.term.shouldHandOver(now, ownCores, mostCores())) {
      this.term.handOver(now);
      await this.giveUp('an entry with more processor time can lead');
    }
  }

  private applyPage(page: LeadershipPage): void {
    if (page.record !== undefined) {
      this.applyRecord(page.record);
    } else if (!this.hasReadNewest) {
      this.recordReadAt = this.options.time.steady();
    }
    this.end = page.end;
  }

  private applyRecord(record: LeaderRecord): void {
    if (record.epoch < (this.record?.epoch ?? 0)) {
      return;
    }
    const changed = record.epoch !== this.record?.epoch;
    this.record = record;
    this.recordReadAt = this.options.time.steady();
    if (changed) {
      this.options.onLeaderChange(record);
    }
  }
}
