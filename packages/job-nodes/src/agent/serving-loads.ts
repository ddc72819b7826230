import { BoundedMap } from '@basilcourse/foundation/util/bounded-map';
import type { LoadSwing } from '@basilcourse/jobs/interference/load-swing';
import {
  highestLoad,
  loadAt,
  receivedSwing,
} from '@basilcourse/jobs/interference/load-swing';
import type { ServingLoad } from '@basilcourse/jobs/interference/serving-load';

import type { ExpectedLoad } from './expected-load.js';

/** Number of jobs whose loads are kept. */
const MAXIMUM_JOBS = 2000;

/** Time until a changed share takes effect and is measured. */
const REACTION_MILLISECONDS = 700;

/** Time from the middle of a measured interval until it is read. */
const MEASUREMENT_AGE_MILLISECONDS = 300;

interface ReceivedLoad {
  readonly unloadedTailLatency: number;
  readonly load: number;
  readonly swing: LoadSwing | undefined;
}

/** Loads of the jobs with serving tasks on one minion, as the leader sent them. */
export class ServingLoads {
  private readonly loads = new BoundedMap<ReceivedLoad>(MAXIMUM_JOBS);

  /** Records loads that were sent a moment ago. */
  public apply(loads: readonly ServingLoad[], now: number): void {
    for (const { job, floor, load, swing } of loads) {
      this.loads.set(job, {
        unloadedTailLatency: floor,
        load,
        swing: swing && receivedSwing(swing, now),
      });
    }
  }

  /** Returns the expected load of a job; undefined if none was sent. */
  public expected(job: string, now: number): ExpectedLoad | undefined {
    const received = this.loads.get(job);
    if (received === undefined) {
      return undefined;
    }
    const { unloadedTailLatency, load, swing } = received;
    if (swing === undefined) {
      return { unloadedTailLatency, load, measuredLoad: load, forecast: false };
    }
    return {
      unloadedTailLatency,
      load: highestLoad(swing, now, now + REACTION_MILLISECONDS),
      measuredLoad: loadAt(swing, now - MEASUREMENT_AGE_MILLISECONDS),
      forecast: true,
    };
  }
}
