import { FirstCalls } from '@basilcourse/jobs/plan/first-calls';
import { planStarts } from '@basilcourse/jobs/plan/plan-starts';
import type { PlannedStart } from '@basilcourse/jobs/plan/planned-start';

import type { LeaderContext } from './leader-context.js';
import { sendStarts } from './send-starts.js';

/** Time for which changes are collected before starts are planned. */
const PLAN_DELAY_MILLISECONDS = 8;

/** No starts are planned while an append is unanswered for longer than this. */
const STORE_WAIT_MILLISECONDS = 600;

/** Plans starts; they are stored before their orders are sent. */
export class StartPlanner {
  private readonly context: LeaderContext;

  /** Starts that are stored but not sent yet. */
  private readonly unsentStarts: PlannedStart[] = [];

  private readonly firstCalls = new FirstCalls();

  private timer: NodeJS.Timeout | undefined;

  private closed = false;

  public constructor(context: LeaderContext) {
    this.context = context;
  }

  /** Plans starts after a short delay, once for all calls until then. */
  public planSoon(): void {
    if (this.timer === undefined && !this.closed) {
      this.timer = setTimeout(() => {
        this.timer = undefined;
        this.plan();
      }, PLAN_DELAY_MILLISECONDS);
    }
  }

  /**
   * Sends stored starts if this process certainly is the leader, as many as the
   * agents read.
   */
  public sendUnsent(): void {
    const { state, options, isReady } = this.context;
    if (this.unsentStarts.length > 0 && isReady()) {
      const starts = this.unsentStarts.splice(0);
      const left = sendStarts(state, starts, options.logger, () => {
        this.sendUnsent();
      });
      this.unsentStarts.push(...left);
    }
  }

  /** Returns whether an append has been unanswered for too long. */
  public isStoreUnresponsive(): boolean {
    return this.context.writer.pendingMilliseconds() > STORE_WAIT_MILLISECONDS;
  }

  /** Stops planning. */
  public close(): void {
    this.closed = true;
    clearTimeout(this.timer);
  }

  private plan(): void {
    const { state, options, writer, isReady } = this.context;
    if (!isReady()) {
      return;
    }
    if (!this.isStoreUnresponsive()) {
      const now = options.time.now();
      const predictor = state.interference.predictor(now);
      this.assign(
        planStarts(state.table, predictor, now, this.firstCalls),
        now,
      );
    }
    writer.startStoring();
  }

  private assign(starts: readonly PlannedStart[], now: number): void {
    if (starts.length === 0) {
      return;
    }
    this.context.state.assign(starts, now);
    this.context.writer.afterStored(stored => {
      if (stored) {
        this.unsentStarts.push(...starts);
        this.sendUnsent();
      }
    });
  }
}
