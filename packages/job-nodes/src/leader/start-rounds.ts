import { planStarts } from '@basilcourse/jobs/plan/plan-starts';
import type { PlannedStart } from '@basilcourse/jobs/plan/planned-start';

import type { LeaderContext } from './leader-context.js';
import { sendStarts } from './send-starts.js';

/** Changes are gathered for so long before a round of starts is planned. */
const PLAN_DELAY_MILLISECONDS = 8;

/** Nothing new is planned while the store has owed an answer for longer. */
const BLOCKED_MILLISECONDS = 600;

/** Plans starts in rounds; each is stored before its orders are sent. */
export class StartRounds {
  private readonly context: LeaderContext;

  /** Starts that are stored and not sent yet. */
  private readonly unsent: PlannedStart[] = [];

  private timer: NodeJS.Timeout | undefined;

  private closed = false;

  public constructor(context: LeaderContext) {
    this.context = context;
  }

  /** Plans a round shortly. */
  public planSoon(): void {
    if (this.timer === undefined && !this.closed) {
      this.timer = setTimeout(() => {
        this.timer = undefined;
        this.plan();
      }, PLAN_DELAY_MILLISECONDS);
    }
  }

  /** Sends stored starts; they wait while the right to lead is in doubt. */
  public sendUnsent(): void {
    const { state, options, isReady } = this.context;
    if (this.unsent.length > 0 && isReady()) {
      sendStarts(state, this.unsent.splice(0), options.logger);
    }
  }

  /** The store has owed an answer for too long to build upon it. */
  public isBlocked(): boolean {
    return this.context.writer.blockedMilliseconds() > BLOCKED_MILLISECONDS;
  }

  /** Plans no more. */
  public close(): void {
    this.closed = true;
    clearTimeout(this.timer);
  }

  private plan(): void {
    const { state, options, writer, isReady } = this.context;
    if (!isReady()) {
      return;
    }
    if (!this.isBlocked()) {
      const now = options.time.now();
      const estimate = state.interference.estimate(now);
      this.assign(planStarts(state.table, estimate, now), now);
    }
    writer.wake();
  }

  private assign(starts: readonly PlannedStart[], now: number): void {
    if (starts.length === 0) {
      return;
    }
    this.context.state.assign(starts, now);
    this.context.writer.afterStored(stored => {
      if (stored) {
        this.unsent.push(...starts);
        this.sendUnsent();
      }
    });
  }
}
