import type { AppendAnswer } from './append-answer.js';

/** One record of a partition; an empty value deletes the key. */
interface KeyedRecord {
  readonly key: string;
  readonly value: Buffer;
  readonly content: Buffer;
}

/** Conditions of an append. */
interface AppendConditions {
  readonly producer?: string | undefined;
  readonly epoch?: number | undefined;
  readonly sequence?: number | undefined;
  readonly expectedEnd?: number | undefined;
}

interface ProducerState {
  readonly epoch: number;
  readonly sequence: number | undefined;
  /** Answers to the last appends, by their sequence numbers. */
  readonly answers: ReadonlyMap<number, object>;
}

const LENGTH_BYTES = 4;

const REPEATS_REMEMBERED = 5;

/** Partition 0 of a topic that keeps the newest record of each key. */
export class KeyedLog {
  private readonly kept: KeyedRecord[] = [];

  private readonly newestByKey = new Map<string, number>();

  private readonly producers = new Map<string, ProducerState>();

  private readonly waiting = new Set<() => void>();

  private readonly recordBytes: number;

  private readonly requestBytes: number;

  /**
   * @param recordBytes - Maximum size of a record's content.
   * @param requestBytes - Maximum size of the records of one append.
   */
  public constructor(recordBytes: number, requestBytes: number) {
    this.recordBytes = recordBytes;
    this.requestBytes = requestBytes;
  }

  /** Offset that follows the newest record. */
  public get end(): number {
    return this.kept.length;
  }

  /** Appends all records of a body, or none. */
  public append(body: Buffer, conditions: AppendConditions): AppendAnswer {
    const { producer, epoch = 0, sequence, expectedEnd } = conditions;
    const state =
      producer === undefined ? undefined : this.producers.get(producer);
    if (state !== undefined && epoch < state.epoch) {
      return { status: 409, body: { reason: 'fenced' } };
    }
    if (state?.epoch === epoch && sequence !== undefined) {
      const repeated = state.answers.get(sequence);
      if (repeated !== undefined) {
        return { status: 200, body: repeated };
      }
      if (state.sequence !== undefined && sequence !== state.sequence + 1) {
        return {
          status: 409,
          body: { reason: 'seq', seq: state.sequence + 1 },
        };
      }
    }
    if (expectedEnd !== undefined && expectedEnd !== this.end) {
      return { status: 412, body: { end_offset: this.end } };
    }
    const records = splitRecords(body);
    if (
      records === undefined ||
      body.length > this.requestBytes ||
      records.some(({ length }) => length > this.recordBytes)
    ) {
      return { status: 400, body: { error: 'a record is too large' } };
    }
    const offset = this.end;
    records.forEach(content => {
      this.keep(content);
    });
    const answer = { offset, end_offset: this.end };
    if (producer !== undefined) {
      this.remember(producer, epoch, sequence, answer);
    }
    [...this.waiting].forEach(wake => {
      wake();
    });
    return { status: 200, body: answer };
  }

  /** Adds a record as the operator does. */
  public write(key: string, value: string): void {
    const name = Buffer.from(key);
    const head = Buffer.from([name.length]);
    const content = Buffer.concat([head, name, Buffer.from(value)]);
    this.keep(content);
    [...this.waiting].forEach(wake => {
      wake();
    });
  }

  /** Returns records from an offset on, as many as fit, with their lengths. */
  public read(from: number, maximumBytes: number): Buffer {
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(this.end), 0);
    const parts: Buffer[] = [head];
    let bytes = 0;
    for (const { content } of this.kept.slice(from)) {
      if (bytes > 0 && bytes + content.length > maximumBytes) {
        break;
      }
      const length = Buffer.alloc(LENGTH_BYTES);
      length.writeUInt32BE(content.length);
      parts.push(length, content);
      bytes += content.length;
    }
    return Buffer.concat(parts);
  }

  /** Waits until the log ends after an offset, or until the timeout. */
  public async waitBeyond(from: number, milliseconds: number): Promise<void> {
    if (this.end > from || milliseconds <= 0) {
      return;
    }
    await new Promise<void>(resolve => {
      const wake = (): void => {
        clearTimeout(timer);
        this.waiting.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, milliseconds);
      this.waiting.add(wake);
    });
  }

  /** Returns the newest value of each key after the given one, in their order. */
  public newest(
    after: string,
  ): readonly { readonly key: string; readonly value: Buffer }[] {
    return [...this.newestByKey]
      .filter(([key]) => key > after)
      .sort(([key], [other]) => (key < other ? -1 : 1))
      .map(([key, offset]) => ({
        key,
        value: this.kept[offset]?.value ?? Buffer.alloc(0),
      }));
  }

  /** Returns the newest value of a key. */
  public valueOf(key: string): string | undefined {
    const offset = this.newestByKey.get(key);
    return offset === undefined
      ? undefined
      : this.kept[offset]?.value.toString('utf8');
  }

  private keep(content: Buffer): void {
    const keyLength = content.length === 0 ? 0 : content.readUInt8(0);
    const key = content.subarray(1, 1 + keyLength).toString('utf8');
    const value = content.subarray(1 + keyLength);
    if (value.length === 0) {
      this.newestByKey.delete(key);
    } else {
      this.newestByKey.set(key, this.kept.length);
    }
    this.kept.push({ key, value, content });
  }

  private remember(
    producer: string,
    epoch: number,
    sequence: number | undefined,
    answer: object,
  ): void {
    const known = this.producers.get(producer);
    const earlier = known?.epoch === epoch ? known : undefined;
    const answers = new Map(earlier?.answers);
    if (sequence !== undefined) {
      answers.set(sequence, answer);
      answers.delete(sequence - REPEATS_REMEMBERED);
    }
    const newest = sequence ?? earlier?.sequence;
    this.producers.set(producer, { epoch, sequence: newest, answers });
  }
}

function splitRecords(body: Buffer): readonly Buffer[] | undefined {
  const records: Buffer[] = [];
  let position = 0;
  while (position + LENGTH_BYTES <= body.length) {
    const contentAt = position + LENGTH_BYTES;
    const end = contentAt + body.readUInt32BE(position);
    records.push(body.subarray(contentAt, end));
    position = end;
  }
  return position === body.length ? records : undefined;
}
