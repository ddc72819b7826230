import type { Readable } from 'node:stream';

const MAXIMUM_LINE_CHARACTERS = 4 * 1024 * 1024;

/**
 * Calls back with each line of a stream, parsed as JSON, and once when the
 * stream has ended or a line is invalid.
 */
export function readLines(
  stream: Readable,
  onLine: (message: unknown) => void,
  onEnd: (reason: string) => void,
): void {
  let remainder = '';
  let ended = false;
  const end = (reason: string): void => {
    if (!ended) {
      ended = true;
      onEnd(reason);
    }
  };
  stream.setEncoding('utf8');
  stream.on('data', (chunk: string) => {
    const parts = (remainder + chunk).split('\n');
    remainder = parts.pop() ?? '';
    if (remainder.length > MAXIMUM_LINE_CHARACTERS) {
      end('a line is too long');
      stream.destroy();
      return;
    }
    for (const part of parts) {
      if (ended || part === '') {
        continue;
      }
      try {
        onLine(JSON.parse(part));
      } catch (error) {
        end(`a line could not be read: ${String(error)}`);
        stream.destroy();
      }
    }
  });
  stream.on('end', () => {
    end('the peer ended the stream');
  });
  stream.on('close', () => {
    end('the stream was closed');
  });
  stream.on('error', error => {
    end(error.message);
  });
}
