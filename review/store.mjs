/**
 * Stand-in of the platform's store: a log with topics, as the protocol page
 * describes it. It holds partition 0 of each topic and keeps all records.
 */
import { createServer } from 'node:http';

const APPEND_MILLISECONDS = 2;

const REPEATS_REMEMBERED = 5;

const NEWEST_PAGE_ITEMS = 500;

const PAGE_BYTES = 1024 * 1024;

export class Store {
  constructor({ recordBytes, requestBytes }) {
    this.recordBytes = recordBytes;
    this.requestBytes = requestBytes;
    this.topics = new Map();
    /** Whether it turns the machines of the system away, with 503. */
    this.turnsAway = false;
    /** Called for each refused append. */
    this.onRefused = () => undefined;
    /** Called with the topic and the keyed values of each stored append. */
    this.onAppended = () => undefined;
    this.server = createServer((request, response) => {
      this.handle(request, response).catch(() => {
        response.destroy();
      });
    });
  }

  listen(host) {
    return new Promise(resolve => {
      this.server.listen(0, host, () => {
        resolve(`${host}:${this.server.address().port}`);
      });
    });
  }

  topic(name) {
    let topic = this.topics.get(name);
    if (topic === undefined) {
      topic = {
        name,
        records: [],
        newest: new Map(),
        producers: new Map(),
        turn: Promise.resolve(),
        waiting: new Set(),
      };
      this.topics.set(name, topic);
    }
    return topic;
  }

  /** Writes a keyed record as the operator does. */
  write(topicName, key, value) {
    this.store(this.topic(topicName), [keyedRecord(key, value)]);
  }

  /** Returns the newest value of a key, as text. */
  valueOf(topicName, key) {
    return this.topic(topicName).newest.get(key)?.value.toString('utf8');
  }

  async handle(request, response) {
    const chunks = [];
    for await (const chunk of request) {
      chunks.push(chunk);
    }
    if (this.turnsAway) {
      send(response, 503, {});
      return;
    }
    const url = new URL(request.url, 'http://store');
    const body = Buffer.concat(chunks);
    switch (`${request.method} ${url.pathname}`) {
      case 'POST /-/log-append':
        await this.append(url.searchParams, body, response);
        return;
      case 'GET /-/log-read':
        await this.read(url.searchParams, response);
        return;
      case 'GET /-/log-newest':
        this.newest(url.searchParams, response);
        return;
      default:
        send(response, 404, {});
    }
  }

  async append(query, body, response) {
    const topic = this.topic(query.get('topic'));
    const before = topic.turn;
    let done;
    topic.turn = new Promise(resolve => {
      done = resolve;
    });
    await before;
    await new Promise(resolve => {
      setTimeout(resolve, APPEND_MILLISECONDS);
    });
    const { status, answer } = this.appendNow(topic, query, body);
    done();
    if (status >= 400) {
      this.onRefused(topic.name, status, answer, body.length);
    }
    send(response, status, answer);
  }

  appendNow(topic, query, body) {
    const producer = query.get('producer');
    const epoch = Number(query.get('epoch') ?? 0);
    const sequence = query.has('seq') ? Number(query.get('seq')) : undefined;
    const known = topic.producers.get(producer);
    if (producer !== null && known !== undefined) {
      if (epoch < known.epoch) {
        return { status: 409, answer: { reason: 'fenced' } };
      }
      if (epoch === known.epoch && sequence !== undefined) {
        const repeat = known.answers.get(sequence);
        if (repeat !== undefined) {
          return { status: 200, answer: repeat };
        }
        if (known.sequence !== undefined && sequence !== known.sequence + 1) {
          const expected = known.sequence + 1;
          return { status: 409, answer: { reason: 'seq', seq: expected } };
        }
      }
    }
    if (query.has('at') && Number(query.get('at')) !== topic.records.length) {
      return { status: 412, answer: { end_offset: topic.records.length } };
    }
    const records = splitRecords(body);
    if (
      records === undefined ||
      body.length > this.requestBytes ||
      records.some(record => record.length > this.recordBytes)
    ) {
      return { status: 400, answer: { error: 'a record is too large' } };
    }
    const offset = topic.records.length;
    this.store(topic, records);
    const answer = { offset, end_offset: topic.records.length };
    if (producer !== null) {
      this.remember(topic, producer, epoch, sequence, answer);
    }
    return { status: 200, answer };
  }

  remember(topic, producer, epoch, sequence, answer) {
    const known = topic.producers.get(producer);
    const entry =
      known?.epoch === epoch
        ? known
        : { epoch, sequence: undefined, answers: new Map() };
    if (sequence !== undefined) {
      entry.sequence = sequence;
      entry.answers.set(sequence, answer);
      entry.answers.delete(sequence - REPEATS_REMEMBERED);
    }
    topic.producers.set(producer, entry);
  }

  store(topic, records) {
    const values = records.map(record => {
      const keyLength = record.readUInt8(0);
      const key = record.subarray(1, 1 + keyLength).toString('utf8');
      const value = record.subarray(1 + keyLength);
      const offset = topic.records.length;
      topic.records.push(record);
      if (value.length === 0) {
        topic.newest.delete(key);
      } else {
        topic.newest.set(key, { value, offset });
      }
      return { key, value };
    });
    this.onAppended(topic.name, values);
    [...topic.waiting].forEach(wake => {
      wake();
    });
  }

  async read(query, response) {
    const topic = this.topic(query.get('topic'));
    const from = Number(query.get('from'));
    const limit = Number(query.get('max_kilobytes') ?? 1024) * 1024;
    if (from >= topic.records.length) {
      await waitForRecord(topic, Number(query.get('wait_ms') ?? 0));
    }
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(topic.records.length), 0);
    const parts = [head];
    let bytes = 0;
    for (const record of topic.records.slice(from)) {
      if (bytes > 0 && bytes + record.length > limit) {
        break;
      }
      const length = Buffer.alloc(4);
      length.writeUInt32BE(record.length);
      parts.push(length, record);
      bytes += record.length;
    }
    response.writeHead(200, { 'content-type': 'application/octet-stream' });
    response.end(Buffer.concat(parts));
  }

  newest(query, response) {
    const topic = this.topic(query.get('topic'));
    const after = query.get('after');
    const keys = [...topic.newest.keys()]
      .sort()
      .filter(key => after === null || key > after);
    const items = [];
    let bytes = 0;
    for (const key of keys) {
      const { value, offset } = topic.newest.get(key);
      bytes += value.length;
      if (
        items.length === NEWEST_PAGE_ITEMS ||
        (items.length > 0 && bytes > PAGE_BYTES)
      ) {
        break;
      }
      items.push({ key, value: value.toString('base64'), offset });
    }
    send(response, 200, {
      items,
      has_more: items.length < keys.length,
      end_offset: topic.records.length,
    });
  }
}

function waitForRecord(topic, milliseconds) {
  return new Promise(resolve => {
    const wake = () => {
      clearTimeout(timer);
      topic.waiting.delete(wake);
      resolve();
    };
    const timer = setTimeout(wake, milliseconds);
    topic.waiting.add(wake);
  });
}

function keyedRecord(key, value) {
  const keyBytes = Buffer.from(key);
  return Buffer.concat([
    Buffer.from([keyBytes.length]),
    keyBytes,
    Buffer.from(value),
  ]);
}

function splitRecords(body) {
  const records = [];
  let position = 0;
  while (position + 4 <= body.length) {
    const length = body.readUInt32BE(position);
    records.push(body.subarray(position + 4, position + 4 + length));
    position += 4 + length;
  }
  return position === body.length ? records : undefined;
}

function send(response, status, body) {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}
