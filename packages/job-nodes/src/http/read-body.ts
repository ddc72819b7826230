import type { IncomingMessage } from 'node:http';

/** Reads a whole body; undefined if it is longer than allowed. */
export async function readBody(
  message: IncomingMessage,
  largestBytes: number,
): Promise<Buffer | undefined> {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of message as AsyncIterable<Buffer>) {
    length += chunk.length;
    if (length <= largestBytes) {
      chunks.push(chunk);
    }
  }
  return length <= largestBytes ? Buffer.concat(chunks) : undefined;
}
