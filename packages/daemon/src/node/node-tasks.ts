import type { PartLogger } from '@basilcourse/foundation/logging/part-logger';
import * as Cause from 'effect/Cause';
import * as Effect from 'effect/Effect';
import * as Fiber from 'effect/Fiber';

/** Background tasks of one node. */
export class NodeTasks {
  private readonly fibers: Fiber.RuntimeFiber<never>[] = [];

  public constructor(private readonly logger: PartLogger) {}

  /** Runs a task until the node stops; a defect ends it and is logged. */
  public start(name: string, task: Effect.Effect<never>): void {
    const logged = task.pipe(
      Effect.tapErrorCause(cause =>
        Effect.sync(() => {
          if (!Cause.isInterruptedOnly(cause)) {
            const reason = Cause.pretty(cause);
            this.logger.error(`Task ${name} ended.`, { reason });
          }
        }),
      ),
    );
    this.fibers.push(Effect.runFork(logged));
  }

  public async stop(): Promise<void> {
    await Effect.runPromise(Fiber.interruptAll(this.fibers));
  }
}
