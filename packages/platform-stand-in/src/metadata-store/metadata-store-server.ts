import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';

import { readBody } from '../http/read-body.js';
import { pause } from '../time/pause.js';
import { KeyedLog } from './keyed-log.js';

/** How the store treats calls of the system, apart from serving them. */
export type StoreTrouble =
  'none' | 'turns-away' | 'silent' | 'loses-answers' | 'acts-late';

const RECORD_BYTES = 262_144;

const REQUEST_BYTES = 2_097_152;

const PAGE_ITEMS = 500;

const PAGE_BYTES = 1024 * 1024;

const ANSWER_MILLISECONDS = 2;

/** Delay of a call that is executed long after its caller gave up. */
const LATE_MILLISECONDS = 3000;

/** Stand-in of the users' metadata store, by its published protocol. */
export class MetadataStoreServer {
  public trouble: StoreTrouble = 'none';

  /** Appends that were refused for what they contain. */
  public refusals = 0;

  public readonly server: Server;

  private readonly logs = new Map<string, KeyedLog>();

  public constructor() {
    this.server = createServer((request, response) => {
      this.handle(request, response).catch(() => {
        response.destroy();
      });
    });
  }

  /** Returns a topic, created if needed. */
  public topic(name: string): KeyedLog {
    const log =
      this.logs.get(name) ?? new KeyedLog(RECORD_BYTES, REQUEST_BYTES);
    this.logs.set(name, log);
    return log;
  }

  private async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await readBody(request);
    const { trouble } = this;
    if (trouble === 'turns-away') {
      sendJson(response, 503, {});
      return;
    }
    if (trouble === 'silent') {
      return;
    }
    await pause(
      trouble === 'acts-late' ? LATE_MILLISECONDS : ANSWER_MILLISECONDS,
    );
    const url = new URL(request.url ?? '/', 'http://store');
    const log = this.topic(url.searchParams.get('topic') ?? '');
    if (url.pathname === '/-/log-append') {
      this.append(log, url.searchParams, body, response);
    } else if (url.pathname === '/-/log-read') {
      await read(log, url.searchParams, response);
    } else if (url.pathname === '/-/log-newest') {
      sendNewest(log, url.searchParams.get('after') ?? '', response);
    } else {
      sendJson(response, 404, {});
    }
  }

  private append(
    log: KeyedLog,
    query: URLSearchParams,
    body: Buffer,
    response: ServerResponse,
  ): void {
    const answer = log.append(body, {
      producer: query.get('producer') ?? undefined,
      epoch: numberOf(query, 'epoch'),
      sequence: numberOf(query, 'seq'),
      expectedEnd: numberOf(query, 'at'),
    });
    this.refusals += Number(answer.status === 400);
    if (this.trouble === 'loses-answers') {
      response.destroy();
    } else {
      sendJson(response, answer.status, answer.body);
    }
  }
}

function numberOf(query: URLSearchParams, name: string): number | undefined {
  const text = query.get(name);
  return text === null ? undefined : Number(text);
}

async function read(
  log: KeyedLog,
  query: URLSearchParams,
  response: ServerResponse,
): Promise<void> {
  const from = numberOf(query, 'from') ?? 0;
  await log.waitBeyond(from, numberOf(query, 'wait_ms') ?? 0);
  const kilobytes = numberOf(query, 'max_kilobytes') ?? 1024;
  response.writeHead(200, { 'content-type': 'application/octet-stream' });
  response.end(log.read(from, kilobytes * 1024));
}

function sendNewest(
  log: KeyedLog,
  after: string,
  response: ServerResponse,
): void {
  const all = log.newest(after);
  const items: object[] = [];
  let bytes = 0;
  for (const { key, value } of all) {
    bytes += value.length;
    if (
      items.length === PAGE_ITEMS ||
      (items.length > 0 && bytes > PAGE_BYTES)
    ) {
      break;
    }
    items.push({ key, value: value.toString('base64'), offset: 0 });
  }
  const has_more = items.length < all.length;
  sendJson(response, 200, { items, has_more, end_offset: log.end });
}

function sendJson(
  response: ServerResponse,
  status: number,
  body: object,
): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(body));
}
