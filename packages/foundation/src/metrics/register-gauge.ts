import type { Registry } from 'prom-client';
import { Gauge } from 'prom-client';

/**
 * Registers a gauge with the prefix `basilcourse_`; its value is read on each
 * scrape.
 */
export function registerGauge(
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
