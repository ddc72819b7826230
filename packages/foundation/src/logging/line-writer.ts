import { write, writeSync } from 'node:fs';

/** Lines that wait for their reader; more are dropped and counted. */
const MOST_WAITING_BYTES = 512 * 1024;

const RETRY_MILLISECONDS = 50;

/** A write that takes longer shows that nobody reads. */
const STUCK_MILLISECONDS = 200;

/** The reader's pipe is full for the moment. */
const FULL = 'EAGAIN';

/**
 * Writes lines to a file descriptor without ever waiting for its reader:
 * Node's standard output blocks the process on a pipe that nobody reads.
 */
export class LineWriter {
  private readonly descriptor: number;

  private waiting: Buffer[] = [];

  private waitingBytes = 0;

  private scheduled = false;

  /** When the write under way was begun. */
  private writingSince: number | undefined;

  private droppedLines = 0;

  public constructor(descriptor: number) {
    this.descriptor = descriptor;
  }

  /** Number of lines dropped since the process started. */
  public get dropped(): number {
    return this.droppedLines;
  }

  /** Queues a line; it is dropped if too many wait. */
  public write(line: string): void {
    const bytes = Buffer.from(line);
    if (this.waitingBytes + bytes.length > MOST_WAITING_BYTES) {
      this.droppedLines += 1;
      return;
    }
    this.waiting.push(bytes);
    this.waitingBytes += bytes.length;
    this.schedule();
  }

  /** Writes what waits before the process exits, unless its reader is stuck. */
  public flush(): void {
    const since = this.writingSince ?? performance.now();
    const stuck = performance.now() - since > STUCK_MILLISECONDS;
    if (stuck || this.waiting.length === 0) {
      return;
    }
    try {
      writeSync(this.descriptor, Buffer.concat(this.waiting));
    } catch {
      // Nobody reads: there is nowhere left to tell it.
    }
    this.waiting = [];
  }

  /** Lines of one turn of the event loop are written together. */
  private schedule(): void {
    if (this.scheduled || this.writingSince !== undefined) {
      return;
    }
    this.scheduled = true;
    setImmediate(() => {
      this.scheduled = false;
      this.writeWaiting();
    });
  }

  private writeWaiting(): void {
    if (this.waiting.length === 0) {
      return;
    }
    const chunk = Buffer.concat(this.waiting);
    this.waiting = [];
    this.writingSince = performance.now();
    this.writeRest(chunk);
  }

  private writeRest(chunk: Buffer): void {
    write(this.descriptor, chunk, (error, written) => {
      if (error?.code === FULL) {
        setTimeout(() => {
          this.writeRest(chunk);
        }, RETRY_MILLISECONDS).unref();
        return;
      }
      // After any other error the reader is gone, and the chunk with it.
      const done = error === null ? written : chunk.length;
      this.waitingBytes -= done;
      if (done < chunk.length) {
        this.writeRest(chunk.subarray(done));
        return;
      }
      this.writingSince = undefined;
      this.writeWaiting();
    });
  }
}
