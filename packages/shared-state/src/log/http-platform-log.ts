import { PeerUnreachableError } from '@basilcourse/foundation/errors/peer-unreachable-error';
import { callJson } from '@basilcourse/foundation/http/call-json';
import { Type } from '@sinclair/typebox';
import { TypeCompiler } from '@sinclair/typebox/compiler';

import type { LogPage } from './log-page.js';
import { LogPageSchema } from './log-page.js';
import type { PlatformLog } from './platform-log.js';
import type { RecordEnvelope } from './record-envelope.js';

const pageCheck = TypeCompiler.Compile(LogPageSchema);

const appendCheck = TypeCompiler.Compile(
  Type.Object({ offset: Type.Readonly(Type.Integer({ minimum: 0 })) }),
);

const APPEND_TIMEOUT_MILLISECONDS = 1500;

const READ_TIMEOUT_MILLISECONDS = 3000;

/** The platform's log over HTTP with JSON bodies. */
export class HttpPlatformLog implements PlatformLog {
  public constructor(private readonly address: string) {}

  public readonly append = async (
    envelope: RecordEnvelope,
  ): Promise<number> => {
    const answer = await callJson({
      step: 'log.append',
      address: this.address,
      method: 'POST',
      path: '/records',
      body: envelope,
      timeoutMilliseconds: APPEND_TIMEOUT_MILLISECONDS,
    });
    if (!appendCheck.Check(answer)) {
      const reason = 'malformed answer to an append';
      throw new PeerUnreachableError('log.append', this.address, reason);
    }
    return answer.offset;
  };

  public readonly read = async (
    from: number,
    maximum: number,
  ): Promise<LogPage> => {
    const answer = await callJson({
      step: 'log.read',
      address: this.address,
      method: 'GET',
      path: `/records?from=${from}&maximum=${maximum}`,
      timeoutMilliseconds: READ_TIMEOUT_MILLISECONDS,
    });
    if (!pageCheck.Check(answer)) {
      const path = pageCheck.Errors(answer).First()?.path ?? 'its root';
      const reason = `malformed page at ${path}`;
      throw new PeerUnreachableError('log.read', this.address, reason);
    }
    return answer as LogPage;
  };
}
