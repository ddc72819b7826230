import type { Registry } from 'prom-client';
import { Gauge } from 'prom-client';

/** Adds a gauge of the project that is read when it is asked for. */
export function watchGauge(
  registry: Registry,
  name: string,
  help: string,
  read: () => number,
): void {
  new Gauge({
    name: `basilcourse_${name}`,
    help,
    registers: [registry],
    collect() {
      this.set(read());
    },
  });
}
