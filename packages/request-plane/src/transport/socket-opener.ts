import type { Duplex } from 'node:stream';

/** Opens a connection to the IP address and port of another process. */
export type SocketOpener = (target: {
  readonly host: string;
  readonly port: number;
}) => Duplex;
