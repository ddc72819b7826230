/** Of the calls while they come late, each of so many does. */
const LATE_EACH = 2;

const SHORTEST_DELAY_MILLISECONDS = 2000;

const DELAY_STEP_MILLISECONDS = 1000;

const DELAY_STEPS = 5;

/** Calls that get no answer, and are carried out 2 to 6 s later. */
export class LateCalls {
  /** Whether some of the calls come late. */
  public active = false;

  private count = 0;

  /** Milliseconds by which the next call is late; 0 if it is not. */
  public nextDelay(): number {
    this.count += 1;
    const late = this.active && this.count % LATE_EACH === 0;
    const steps = this.count % DELAY_STEPS;
    return late
      ? SHORTEST_DELAY_MILLISECONDS + steps * DELAY_STEP_MILLISECONDS
      : 0;
  }
}
