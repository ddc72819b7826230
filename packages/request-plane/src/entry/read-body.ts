import type { IncomingMessage } from 'node:http';

import { MAXIMUM_BODY_BYTES } from './read-caller-request.js';

/** Reads the complete body; undefined if it is larger than the maximum. */
export async function readBody(
  incoming: IncomingMessage,
): Promise<Uint8Array | undefined> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of incoming) {
    const buffer = chunk as Buffer;
    bytes += buffer.length;
    if (bytes > MAXIMUM_BODY_BYTES) {
      return undefined;
    }
    chunks.push(buffer);
  }
  return Buffer.concat(chunks);
}
