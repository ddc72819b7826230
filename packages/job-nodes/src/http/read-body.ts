import type { IncomingMessage } from 'node:http';

/** Reads a complete body; undefined if it exceeds the maximum. */
export async function readBody(
  message: IncomingMessage,
  maximumBytes: number,
): Promise<Buffer | undefined> {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of message as AsyncIterable<Buffer>) {
    length += chunk.length;
    if (length <= maximumBytes) {
      chunks.push(chunk);
    }
  }
  return length <= maximumBytes ? Buffer.concat(chunks) : undefined;
}
