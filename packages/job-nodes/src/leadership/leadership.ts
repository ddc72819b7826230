import { messageOf } from '@basilcourse/foundation/errors/message-of';

import { pause } from '../time/pause.js';
import { shouldClaim } from './decide-claim.js';
import type { LeaderRecord } from './leader-record.js';
import type { LeadershipOptions } from './leadership-options.js';

const RENEW_EVERY_MILLISECONDS = 500;

/** A leader acts on its lease for so long after it sent a renewal. */
const LEASE_MILLISECONDS = 1500;

const FOLLOW_MILLISECONDS = 400;

/** While the lead is free, so that a claim is not late. */
const CANDIDATE_FOLLOW_MILLISECONDS = 50;

const RETRY_MILLISECONDS = 200;

/** A candidate leaves others this many times its own way to the log and back. */
const COURTESY_FACTOR = 3;

const MOST_COURTESY_MILLISECONDS = 400;

/** Follows who leads, claims the lead, and renews it. */
export class Leadership {
  /** Newest record known. */
  public record: LeaderRecord | undefined;

  /** Time that candidates nearer to the log are left. */
  private courtesyMilliseconds = 0;

  private readonly options: LeadershipOptions;

  private end = 0;

  private readAt = 0;

  private sequence = 0;

  private renewedAt = Number.NEGATIVE_INFINITY;

  private leading = false;

  private stopping = false;

  private ended = false;

  private goneLife = '';

  private known = false;

  public constructor(options: LeadershipOptions) {
    this.options = options;
  }

  /** This process leads, and its lease is not over. */
  public isValid(): boolean {
    const { time } = this.options;
    return this.leading && time.steady() - this.renewedAt < LEASE_MILLISECONDS;
  }

  /** Notes that a process that leads or led surely is gone. */
  public noteGone(life: string): void {
    this.goneLife = life;
  }

  /** Learns of a leader from another process. */
  public learn(record: LeaderRecord): void {
    if (!this.leading && record.epoch > (this.record?.epoch ?? 0)) {
      this.take(record);
    }
  }

  /** Gives up leading, without a word to others. */
  public lose(reason: string): void {
    if (!this.leading) {
      return;
    }
    this.leading = false;
    this.known = false;
    this.options.logger.warn('This process leads no more.', { reason });
    this.options.onLost(reason);
  }

  /** Ends the following. */
  public stop(): void {
    this.ended = true;
  }

  /** Follows, claims and renews until it is stopped. */
  public async run(): Promise<void> {
    while (!this.isEnded()) {
      try {
        await this.step();
      } catch (error) {
        this.options.logger.warn('The log of leaders did not answer.', {
          reason: messageOf(error),
          leading: this.leading,
        });
        this.loseIfOver();
        await pause(RETRY_MILLISECONDS);
      }
    }
  }

  /** Gives up the lead, and claims it no more. */
  public async resign(): Promise<void> {
    this.stopping = true;
    if (!this.leading || this.record === undefined) {
      return;
    }
    const record = { ...this.record, resigned: true };
    this.lose('this process stops');
    this.sequence += 1;
    try {
      await this.options.log.renew(record, this.sequence);
    } catch (error) {
      this.options.logger.warn('The lead could not be given up.', {
        reason: messageOf(error),
      });
    }
  }

  private isEnded(): boolean {
    return this.ended;
  }

  private async step(): Promise<void> {
    if (this.leading) {
      await this.renew();
      return;
    }
    if (!this.known) {
      await this.readNewest();
    } else {
      this.takePage(await this.options.log.follow(this.end, this.followFor()));
    }
    if (!this.stopping && this.mayClaim()) {
      await this.claim();
    }
  }

  private async readNewest(): Promise<void> {
    const { log, time } = this.options;
    const askedAt = time.steady();
    const page = await log.newest();
    const way = time.steady() - askedAt;
    this.courtesyMilliseconds = Math.min(
      MOST_COURTESY_MILLISECONDS,
      way * COURTESY_FACTOR,
    );
    this.takePage(page);
    this.known = true;
  }

  private followFor(): number {
    const free = this.record?.resigned !== false || this.isProvenGone();
    return free ? CANDIDATE_FOLLOW_MILLISECONDS : FOLLOW_MILLISECONDS;
  }

  private isProvenGone(): boolean {
    return this.record?.life === this.goneLife;
  }

  private mayClaim(): boolean {
    const { name, life, time } = this.options;
    return shouldClaim({
      record: this.record,
      silentMilliseconds: time.steady() - this.readAt,
      ownName: name,
      ownLife: life,
      provenGone: this.isProvenGone(),
      courtesyMilliseconds: this.courtesyMilliseconds,
    });
  }

  private async claim(): Promise<void> {
    const { name, life, address, log, time } = this.options;
    // The place of the claim is its alone, and after all that was claimed
    // before; a late renewal of an earlier leader may hide the newest claim.
    const epoch = this.end + 1;
    const record = { epoch, name, life, address, resigned: false };
    const sentAt = time.steady();
    const won = await log.claim(record, this.end);
    if (!won) {
      this.known = false;
      return;
    }
    this.leading = true;
    this.sequence = 0;
    this.renewedAt = sentAt;
    this.take(record);
    this.options.logger.info('This process leads.', { epoch });
    this.options.onWon(epoch);
  }

  private async renew(): Promise<void> {
    const { log, time } = this.options;
    if (this.sequence > 0) {
      await pause(RENEW_EVERY_MILLISECONDS);
    }
    const { record } = this;
    if (!this.leading || record === undefined) {
      return;
    }
    const sentAt = time.steady();
    const sequence = this.sequence + 1;
    const renewed = await log.renew(record, sequence);
    if (renewed) {
      this.sequence = sequence;
      this.renewedAt = sentAt;
    } else {
      this.lose('another process leads');
    }
  }

  private loseIfOver(): void {
    const { time } = this.options;
    const silent = time.steady() - this.renewedAt;
    if (this.leading && silent > 20 * LEASE_MILLISECONDS) {
      this.lose('the log was away for too long');
    }
  }

  private takePage(page: {
    readonly record: LeaderRecord | undefined;
    readonly end: number;
  }): void {
    if (page.record !== undefined) {
      this.take(page.record);
    } else if (!this.known) {
      this.readAt = this.options.time.steady();
    }
    this.end = page.end;
  }

  private take(record: LeaderRecord): void {
    if (record.epoch < (this.record?.epoch ?? 0)) {
      return;
    }
    const changed = record.epoch !== this.record?.epoch;
    this.record = record;
    this.readAt = this.options.time.steady();
    if (changed) {
      this.options.onLeader(record);
    }
  }
}
