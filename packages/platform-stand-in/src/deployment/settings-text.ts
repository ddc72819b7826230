import type { NodePlace } from './node-place.js';
import { NODE_PORTS } from './node-ports.js';

/** Limits and bounds of the smaller of the users' first two deployments. */
const FIGURES = {
  limits: { cpu_share: 0.27, cores: 1, memory_mb: 350 },
  bounds: {
    max_hold_ms: 10_000,
    grace_s: 6,
    stop_timeout_ms: 200,
    lease_ms: 3000,
  },
  heartbeat_ms: 1500,
};

/** Returns the settings file of a program, in the platform's format. */
export function settingsText(place: NodePlace): string {
  const { host, role } = place;
  const { callers, readiness, heartbeats, internal } = NODE_PORTS;
  const control = `${host}:${heartbeats}`;
  return JSON.stringify({
    ...FIGURES,
    node_name: place.name,
    role,
    machine_class: role === 'entry' ? 'frontend' : 'side',
    ip_address: host,
    zone: 'zone-1',
    listen_addresses:
      role === 'entry'
        ? {
            front: `${host}:${callers}`,
            readiness: `${host}:${readiness}`,
            control,
          }
        : { control },
    internal_ports: [internal, internal + 1],
    seeds: place.seeds,
    platform: {
      address: place.storeAddress,
      record_bytes: 262_144,
      request_bytes: 2_097_152,
    },
    ...(place.minionAddress === undefined
      ? {}
      : { app: place.minionAddress, service: place.service }),
  });
}
