import { pause } from '@basilcourse/platform-stand-in/time/pause';

import type { ProxyMode, TcpProxy } from './tcp-proxy.js';

/** Disturbs a path for a time, and resets its connections. */
export async function disturbPath(
  path: TcpProxy | undefined,
  mode: ProxyMode,
  milliseconds: number,
): Promise<void> {
  if (path !== undefined) {
    path.mode = mode;
    await pause(milliseconds);
    // A connection that lost bytes does not work again.
    path.mode = 'resets';
    path.mode = 'forwards';
  }
}
