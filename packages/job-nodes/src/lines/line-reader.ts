import type { Readable } from 'node:stream';

const LONGEST_LINE_CHARACTERS = 4 * 1024 * 1024;

/** Calls back with each line of a stream, parsed as JSON. */
export function readLines(
  stream: Readable,
  onLine: (message: unknown) => void,
  onEnd: (reason: string) => void,
): void {
  let rest = '';
  let over = false;
  const end = (reason: string): void => {
    if (!over) {
      over = true;
      onEnd(reason);
    }
  };
  stream.setEncoding('utf8');
  stream.on('data', (chunk: string) => {
    const parts = (rest + chunk).split('\n');
    rest = parts.pop() ?? '';
    if (rest.length > LONGEST_LINE_CHARACTERS) {
      end('a line is too long');
      stream.destroy();
      return;
    }
    for (const part of parts) {
      if (over || part === '') {
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
