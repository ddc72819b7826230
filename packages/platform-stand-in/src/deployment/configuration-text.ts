/** Returns a configuration with one queue, as operators write it. */
export function configurationText(
  version: number,
  host: string,
  prefix: string,
  service: string,
): string {
  return JSON.stringify({
    version,
    routes: [
      {
        name: 'queue',
        host,
        path_prefix: prefix,
        kind: 'non_idempotent',
        timeout_ms: 3000,
        target_latency_ms: 600,
        priority: 0,
        service,
        max_attempts: 3,
        slack_factor: 1.5,
      },
    ],
    services: [{ name: service }],
    limits: { body_bytes: 262_144 },
  });
}
