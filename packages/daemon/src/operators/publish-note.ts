import type { JsonResponse } from '@basilcourse/foundation/http/json-response';
import { formatProblem } from '@basilcourse/foundation/settings/format-problem';
import { rejectionReasons } from '@basilcourse/shared-state/configuration/apply-release-note';
import type { AppendResult } from '@basilcourse/shared-state/follow/append-result';
import { parseReleaseNote } from '@basilcourse/shared-state/release-note/parse-release-note';
import { Type } from '@sinclair/typebox';
import { TypeCompiler } from '@sinclair/typebox/compiler';
import * as Effect from 'effect/Effect';

import type { NodeCore } from '../node/node-core.js';

/** Wait for a note to be read back in force. */
const PUBLISH_PATIENCE_MILLISECONDS = 10_000;

const HTTP_CONFLICT = 409;

const HTTP_UNPROCESSABLE = 422;

const HTTP_UNKNOWN = 504;

const HTTP_UNAVAILABLE = 503;

const bodyCheck = TypeCompiler.Compile(
  Type.Object({
    id: Type.String({ pattern: '^[a-zA-Z0-9-]{8,100}$' }),
    text: Type.String({ maxLength: 512 * 1024 }),
  }),
);

function reply(
  core: NodeCore,
  id: string,
  verdict: AppendResult,
): JsonResponse {
  if (verdict.kind === 'dropped') {
    const body = { result: 'not-published', reasons: [verdict.reason] };
    return { status: HTTP_UNAVAILABLE, body };
  }
  const known = core.state.fold.configuration.verdicts.get(id);
  if (verdict.kind === 'unknown' || known === undefined) {
    const reason =
      verdict.kind === 'unknown' ? verdict.reason : 'no verdict was found';
    return {
      status: HTTP_UNKNOWN,
      body: { result: 'unknown', reasons: [reason] },
    };
  }
  return known.accepted
    ? { status: 200, body: { result: 'in-force', ...known } }
    : { status: HTTP_CONFLICT, body: { result: 'rejected', ...known } };
}

/**
 * Publishes a release note: checks it, appends it, and reports it as accepted
 * only after it was read back in force. The caller's id makes it idempotent.
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
    const known = core.state.fold.configuration.verdicts.get(id);
    const result = known?.accepted === true ? 'in-force' : 'rejected';
    return { status: 200, body: { result, ...known } };
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
  const deadline = core.clock.now() + PUBLISH_PATIENCE_MILLISECONDS;
  const verdict = await Effect.runPromise(
    core.appender.append(id, 'release-note', { operator, text }, deadline),
  );
  return reply(core, id, verdict);
}
