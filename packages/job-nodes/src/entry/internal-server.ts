import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';

import { messageOf } from '@basilcourse/foundation/errors/message-of';
import type { PartLogger } from '@basilcourse/foundation/logging/part-logger';

import { readBody } from '../http/read-body.js';
import { sendJson } from '../http/send-json.js';
import { AgentSession } from '../leader/agent-session.js';
import type { AgentStreamHandler } from '../leader/agent-stream-handler.js';
import type { JobAnswer } from '../leader/job-answer.js';
import type { Leader } from '../leader/leader.js';
import type { LeaderRecord } from '../leadership/leader-record.js';
import type { AgentMessage } from '../lines/agent-message.js';
import type { CallMessage } from '../lines/call-message.js';
import { readLines } from '../lines/read-lines.js';
import { ReportDecoder } from '../lines/report-decoder.js';
import type { TimeSource } from '../time/time-source.js';
import type { WatchStreams } from './watch-streams.js';

const MAXIMUM_CALL_BYTES = 1024 * 1024;

const MISDIRECTED_STATUS = 421;

const NOT_FOUND_STATUS = 404;

const INTERNAL_ERROR_STATUS = 500;

const NOT_LEADING: JobAnswer = { kind: 'not-leading' };

/** Dependencies of the server for other processes of the system. */
export interface InternalServerOptions {
  readonly time: TimeSource;
  readonly logger: PartLogger;
  readonly incarnation: string;
  readonly localLeader: () => Leader | undefined;
  readonly leaderRecord: () => LeaderRecord | undefined;
  readonly watchStreams: WatchStreams;
}

/** Creates the server of an entry for other processes of the system. */
export function createInternalServer(options: InternalServerOptions): Server {
  const server = createServer((incoming, response) => {
    handle(options, incoming, response).catch((error: unknown) => {
      options.logger.error('A call of another process failed.', {
        path: incoming.url ?? '',
        reason: messageOf(error),
      });
      if (!response.headersSent) {
        sendJson(response, INTERNAL_ERROR_STATUS, {});
      }
    });
  });
  server.requestTimeout = 0;
  server.keepAliveTimeout = 30_000;
  return server;
}

type Handler = (
  options: InternalServerOptions,
  url: URL,
  incoming: IncomingMessage,
  response: ServerResponse,
) => Promise<void> | void;

const HANDLERS: Readonly<Record<string, Handler>> = {
  '/call': answerCall,
  '/agent-stream': openAgentStream,
  '/watch': openWatch,
  '/leader': sendLeader,
};

async function handle(
  options: InternalServerOptions,
  incoming: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const url = new URL(incoming.url ?? '/', 'http://entry');
  const handler = HANDLERS[url.pathname];
  if (handler === undefined) {
    sendJson(response, NOT_FOUND_STATUS, {});
    return;
  }
  await handler(options, url, incoming, response);
}

async function answerCall(
  options: InternalServerOptions,
  _url: URL,
  incoming: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const body = await readBody(incoming, MAXIMUM_CALL_BYTES);
  const leader = options.localLeader();
  const message = JSON.parse(body?.toString('utf8') ?? '') as CallMessage;
  const { epoch, call } = message;
  const isAddressed = leader?.epoch === epoch;
  const answer = isAddressed ? await leader.answer(call) : NOT_LEADING;
  sendJson(response, 200, answer);
}

function openAgentStream(
  options: InternalServerOptions,
  url: URL,
  incoming: IncomingMessage,
  response: ServerResponse,
): void {
  const leader = options.localLeader();
  if (!leader?.isReady()) {
    incoming.resume();
    sendJson(response, MISDIRECTED_STATUS, {
      leader: options.leaderRecord() ?? null,
    });
    return;
  }
  const agent = url.searchParams.get('agent') ?? '';
  response.writeHead(200);
  response.flushHeaders();
  const compact = url.searchParams.has('compact');
  const now = options.time.now();
  const session = leader.agentStreams.attach(
    token => new AgentSession(agent, token, response, now, compact),
  );
  const decoder = new ReportDecoder(agent);
  options.logger.info('An agent has joined.', {
    agent,
    token: session.fencingToken,
  });
  readLines(
    incoming,
    line => {
      handleAgentMessage(
        leader.agentStreams,
        session,
        decoder,
        line as AgentMessage,
      );
    },
    reason => {
      options.logger.info('The stream of an agent has ended.', {
        agent,
        reason,
      });
      leader.agentStreams.detach(session);
      response.destroy();
    },
  );
}

function handleAgentMessage(
  streams: AgentStreamHandler,
  session: AgentSession,
  decoder: ReportDecoder,
  message: AgentMessage,
): void {
  switch (message.kind) {
    case 'beat':
      streams.renewLease(session, message.sentAt);
      return;
    case 'images':
      streams.adopt(message.images);
      return;
    case 'report':
      streams.handleReport(session, message.report);
      streams.renewLeaseAfterReport(session, message.sentAt);
      return;
    case 'delta':
      streams.handleReport(session, decoder.decode(message.delta));
      streams.renewLeaseAfterReport(session, message.sentAt);
      return;
  }
}

function openWatch(
  options: InternalServerOptions,
  url: URL,
  incoming: IncomingMessage,
  response: ServerResponse,
): void {
  incoming.resume();
  response.writeHead(200);
  response.flushHeaders();
  const address = url.searchParams.get('address') ?? '';
  const cores = Number(url.searchParams.get('cores') ?? 0);
  const watcher = { address, cores: Number.isFinite(cores) ? cores : 0 };
  options.watchStreams.add(watcher, response);
}

function sendLeader(
  options: InternalServerOptions,
  _url: URL,
  incoming: IncomingMessage,
  response: ServerResponse,
): void {
  incoming.resume();
  sendJson(response, 200, {
    life: options.incarnation,
    leader: options.leaderRecord() ?? null,
  });
}
