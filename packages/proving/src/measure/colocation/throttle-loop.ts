import type { WorkerStandIn } from '@basilcourse/platform-stand-in/worker/worker-stand-in';
import {
  decideThrottle,
  nextShare,
} from '@basilcourse/scheduler/pressure/decide-throttle';
import { ServiceTimeWindows } from '@basilcourse/scheduler/pressure/service-time-windows';

const SERVICE_MILLISECONDS = 100;

/**
 * Applies the agents' rules for throttling batch tasks to simulated workers,
 * because a simulation has no agents.
 */
export class ThrottleLoop {
  private readonly serviceTimesByWorker = new Map<string, ServiceTimeWindows>();

  public constructor(private readonly latencyWeight: number) {}

  public async step(worker: WorkerStandIn): Promise<void> {
    const serviceTimes =
      this.serviceTimesByWorker.get(worker.name) ?? new ServiceTimeWindows();
    this.serviceTimesByWorker.set(worker.name, serviceTimes);
    const services = worker.runner.tasks.filter(
      ({ command }) => command.role === 'service',
    );
    for (const { command } of services) {
      const slowdown = worker.runner.slowdownOf(command.attempt);
      for (let request = 0; request < 20; request += 1) {
        serviceTimes.observe(
          command.attempt,
          SERVICE_MILLISECONDS * (1 + slowdown),
        );
      }
    }
    const direction = decideThrottle({
      latencyWeight: this.latencyWeight,
      services: services.map(({ command }) => ({
        attempt: command.attempt,
        targetMilliseconds: SERVICE_MILLISECONDS * 1.1,
      })),
      serviceTimes,
    });
    if (direction === 'keep') {
      return;
    }
    serviceTimes.reset();
    const batch = worker.runner.tasks.filter(
      ({ command }) => command.role === 'job',
    );
    for (const { command, throttle } of batch) {
      await worker.throttle(command.attempt, nextShare(throttle, direction));
    }
  }
}
