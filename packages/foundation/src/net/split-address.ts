import type { HostAndPort } from './host-and-port.js';

/** Splits an IP address and port such as `127.0.0.1:80` or `[::1]:80`. */
export function splitAddress(address: string): HostAndPort {
  const separator = address.lastIndexOf(':');
  const host = address.slice(0, separator).replace(/^\[|\]$/g, '');
  return { host, port: Number(address.slice(separator + 1)) };
}
