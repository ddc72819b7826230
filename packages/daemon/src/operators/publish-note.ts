import type { JsonResponse } from '@basilcourse/foundation/http/json-response';
import { formatProblem } from '@basilcourse/foundation/settings/format-problem';
import { rejectionReasons } from '@basilcourse/shared-state/configuration/apply-release-note';
import type { AppendResult } from '@basilcourse/shared-state/follow/append-result';
import { parseReleaseNote } from '@basilcourse/shared-state/release-note/parse-release-note';
import { Type } from '@sinclair/typebox';
import { TypeCompiler } from '@sinclair/typebox/compiler';
import * as Effect from 'effect/Effect';

import type { NodeCore } from '../node/node-core.js';

/** Time limit for a note to be read back from the log. */
const PUBLISH_TIMEOUT_MILLISECONDS = 10_000;

const HTTP_CONFLICT = 409;

const HTTP_UNPROCESSABLE = 422;

const HTTP_GATEWAY_TIMEOUT = 504;

const HTTP_UNAVAILABLE = 503;

const bodyCheck = TypeCompiler.Compile(
  Type.Object({
    id: Type.String({ pattern: '^[a-zA-Z0-9-]{8,100}$' }),
    text: Type.String({ maxLength: 512 * 1024 }),
  }),
);

function responseOf(
  core: NodeCore,
  id: string,
  result: AppendResult,
): JsonResponse {
  if (result.kind === 'dropped') {
    const body = { result: 'not-published', reasons: [result.reason] };
    return { status: HTTP_UNAVAILABLE, body };
  }
  const verdict = core.state.fold.configuration.verdicts.get(id);
  if (result.kind === 'unknown' || verdict === undefined) {
    const reason =
      result.kind === 'unknown' ? result.reason : 'no verdict was found';
    return {
      status: HTTP_GATEWAY_TIMEOUT,
      body: { result: 'unknown', reasons: [reason] },
    };
  }
  return verdict.accepted
    ? { status: 200, body: { result: 'in-force', ...verdict } }
    : { status: HTTP_CONFLICT, body: { result: 'rejected', ...verdict } };
}

/**
 * Publishes a release note: checks it, appends it, and reports it as in force
 * only after it was read back. The id in the body makes the call idempotent.
 */
export async function publishNote(
  core: NodeCore,
  body: unknown,
): Promise<JsonResponse> {
  if (!bodyCheck.Check(body)) {
    return { status: 400, body: { error: 'an id and a text are needed' } };
  }
  const { id, text } = body;
  if (core.state.fold.hasApplied(id)) {
    const verdict = core.state.fold.configuration.verdicts.get(id);
    const result = verdict?.accepted === true ? 'in-force' : 'rejected';
    return { status: 200, body: { result, ...verdict } };
  }
  const { note, problems } = parseReleaseNote(text);
  const reasons =
    problems.length > 0
      ? problems.map(problem => formatProblem('note', problem))
      : rejectionReasons(core.state.fold.configurationState, text);
  if (reasons.length > 0) {
    const status = HTTP_UNPROCESSABLE;
    return { status, body: { result: 'refused', reasons } };
  }
  core.events.record(
    'note-published',
    `Note ${note.name} by ${note.operator}.`,
  );
  const { operator } = note;
  const deadline = core.clock.now() + PUBLISH_TIMEOUT_MILLISECONDS;
  const appendResult = await Effect.runPromise(
    core.appender.append(id, 'release-note', { operator, text }, deadline),
  );
  return responseOf(core, id, appendResult);
}
