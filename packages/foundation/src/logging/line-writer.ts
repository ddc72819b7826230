import { write, writeSync } from 'node:fs';

/** Maximum size of the queue; lines that do not fit are dropped and counted. */
const MAXIMUM_QUEUED_BYTES = 512 * 1024;

const RETRY_DELAY_MILLISECONDS = 50;

/**
 * Duration after which a pending write counts as stalled: the pipe is unread.
 */
const STALLED_WRITE_MILLISECONDS = 200;

/** Error code of a write to a pipe that is currently full. */
const PIPE_FULL_CODE = 'EAGAIN';

/**
 * Writes lines to a file descriptor without blocking. `process.stdout` is not
 * used because it blocks the process on a full pipe that nobody reads.
 */
export class LineWriter {
  private readonly descriptor: number;

  private queued: Buffer[] = [];

  private queuedBytes = 0;

  private writeScheduled = false;

  /**
   * Time at which the write in progress started; undefined when there is none.
   */
  private writeStartedAt: number | undefined;

  private droppedLines = 0;

  public constructor(descriptor: number) {
    this.descriptor = descriptor;
  }

  /** Number of lines dropped since the process started. */
  public get dropped(): number {
    return this.droppedLines;
  }

  /** Queues a line; drops it if the queue is full. */
  public write(line: string): void {
    const bytes = Buffer.from(line);
    if (this.queuedBytes + bytes.length > MAXIMUM_QUEUED_BYTES) {
      this.droppedLines += 1;
      return;
    }
    this.queued.push(bytes);
    this.queuedBytes += bytes.length;
    this.scheduleWrite();
  }

  /**
   * Writes the queued lines synchronously before the process exits, unless the
   * write in progress is stalled.
   */
  public flush(): void {
    const startedAt = this.writeStartedAt ?? performance.now();
    const stalled = performance.now() - startedAt > STALLED_WRITE_MILLISECONDS;
    if (stalled || this.queued.length === 0) {
      return;
    }
    try {
      writeSync(this.descriptor, Buffer.concat(this.queued));
    } catch {
      // The reader is unavailable, so the error cannot be logged.
    }
    this.queued = [];
  }

  /**
   * Schedules one write for all lines queued in this turn of the event loop.
   */
  private scheduleWrite(): void {
    if (this.writeScheduled || this.writeStartedAt !== undefined) {
      return;
    }
    this.writeScheduled = true;
    setImmediate(() => {
      this.writeScheduled = false;
      this.writeQueued();
    });
  }

  private writeQueued(): void {
    if (this.queued.length === 0) {
      return;
    }
    const chunk = Buffer.concat(this.queued);
    this.queued = [];
    this.writeStartedAt = performance.now();
    this.writeRemainder(chunk);
  }

  private writeRemainder(chunk: Buffer): void {
    write(this.descriptor, chunk, (error, written) => {
      if (error?.code === PIPE_FULL_CODE) {
        setTimeout(() => {
          this.writeRemainder(chunk);
        }, RETRY_DELAY_MILLISECONDS).unref();
        return;
      }
      // Any other error means that the reader has exited; the chunk is lost.
      const finishedBytes = error === null ? written : chunk.length;
      this.queuedBytes -= finishedBytes;
      if (finishedBytes < chunk.length) {
        this.writeRemainder(chunk.subarray(finishedBytes));
        return;
      }
      this.writeStartedAt = undefined;
      this.writeQueued();
    });
  }
}
