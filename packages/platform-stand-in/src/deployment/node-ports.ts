/** Ports of every program of a test's deployment; hosts differ. */
export const NODE_PORTS = {
  callers: 8161,
  readiness: 8167,
  heartbeats: 8166,
  internal: 7720,
} as const;
