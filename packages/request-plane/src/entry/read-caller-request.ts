import type { Service } from '@basilcourse/shared-state/release-note/service';

import { forwardedFields } from '../http/header-fields.js';
import type { BadRequest } from './bad-request.js';
import type { CallerRequest } from './caller-request.js';

/** Maximum size of the body of a request. */
export const MAXIMUM_BODY_BYTES = 1024 * 1024;

const MAXIMUM_TIMEOUT_MILLISECONDS = 600_000;

const MAXIMUM_KEY_CHARACTERS = 200;

const MAXIMUM_TEAM_CHARACTERS = 63;

/** Header fields that the entry reads itself and does not forward. */
const ENTRY_ONLY_FIELDS: ReadonlySet<string> = new Set([
  'basilcourse-unrepeatable',
  'basilcourse-timeout-milliseconds',
  'basilcourse-request-id',
]);

/** The parts of a request that are available before its body. */
interface RequestHead {
  readonly requestId: string;
  readonly method: string;
  readonly url: string;
  readonly rawHeaders: readonly string[];
  readonly services: ReadonlyMap<string, Service>;
  readonly arrivedAt: number;
}

/** The checked head of a request, or why it is refused. */
export type HeadResult =
  | { readonly kind: 'head'; readonly request: Omit<CallerRequest, 'body'> }
  | { readonly kind: 'bad'; readonly bad: BadRequest };

function badRequest(status: number, reason: string): HeadResult {
  return { kind: 'bad', bad: { status, reason } };
}

function valuesOf(
  rawHeaders: readonly string[],
  name: string,
): readonly string[] {
  return rawHeaders.filter(
    (_, index) =>
      index % 2 === 1 && rawHeaders[index - 1]?.toLowerCase() === name,
  );
}

/** Returns why the value of a header field is invalid; empty if it is valid. */
type FieldCheck = (value: string) => string;

const fieldChecks: Readonly<Record<string, FieldCheck>> = {
  'basilcourse-unrepeatable': value =>
    value === 'true' || value === 'false' ? '' : 'must be true or false',
  'basilcourse-timeout-milliseconds': value => {
    const timeout = /^\d{1,6}$/.test(value) ? Number(value) : 0;
    return timeout >= 1 && timeout <= MAXIMUM_TIMEOUT_MILLISECONDS
      ? ''
      : `must be a whole number from 1 to ${MAXIMUM_TIMEOUT_MILLISECONDS}`;
  },
  'idempotency-key': value =>
    /^[\x21-\x7e]+$/.test(value) && value.length <= MAXIMUM_KEY_CHARACTERS
      ? ''
      : `must be 1 to ${MAXIMUM_KEY_CHARACTERS} visible characters`,
  'basilcourse-team': value =>
    /^[a-z0-9-]+$/.test(value) && value.length <= MAXIMUM_TEAM_CHARACTERS
      ? ''
      : 'must be the name of a team',
};

function checkFields(rawHeaders: readonly string[]): string {
  for (const [name, check] of Object.entries(fieldChecks)) {
    const values = valuesOf(rawHeaders, name);
    const reason =
      values.length > 1 ? 'must stand once' : check(values[0] ?? '');
    if (values.length > 0 && reason !== '') {
      return `${name} ${reason}`;
    }
  }
  return '';
}

function checkFraming(rawHeaders: readonly string[]): string {
  const lengths = valuesOf(rawHeaders, 'content-length');
  const encodings = valuesOf(rawHeaders, 'transfer-encoding');
  if (lengths.length > 1 || encodings.length > 1) {
    return 'the length of the body is given more than once';
  }
  if (lengths.length > 0 && encodings.length > 0) {
    return 'content-length and transfer-encoding exclude each other';
  }
  const encoding = encodings[0]?.toLowerCase() ?? 'chunked';
  return encoding === 'chunked'
    ? ''
    : `transfer-encoding ${encoding} is not taken`;
}

/**
 * Checks the head of a caller's request.
 *
 * The first segment of the path names the service; the rest is forwarded.
 */
export function readRequestHead(head: RequestHead): HeadResult {
  const { rawHeaders } = head;
  const framingError = checkFraming(rawHeaders);
  if (framingError !== '') {
    return badRequest(400, framingError);
  }
  const fieldError = checkFields(rawHeaders);
  if (fieldError !== '') {
    return badRequest(400, fieldError);
  }
  const match = /^\/([a-z0-9][a-z0-9-]*)(\/[^\s]*|\?[^\s]*)?$/.exec(head.url);
  const name = match?.[1];
  const service = name === undefined ? undefined : head.services.get(name);
  if (service === undefined) {
    return badRequest(
      404,
      'the first segment of the path names no service in force',
    );
  }
  const length = Number(valuesOf(rawHeaders, 'content-length')[0] ?? 0);
  if (length > MAXIMUM_BODY_BYTES) {
    return badRequest(
      413,
      `the body is larger than ${MAXIMUM_BODY_BYTES} bytes`,
    );
  }
  const firstValueOf = (field: string): string =>
    valuesOf(rawHeaders, field)[0] ?? '';
  const requestedTimeout = firstValueOf('basilcourse-timeout-milliseconds');
  const timeout =
    requestedTimeout === ''
      ? service.timeoutMilliseconds
      : Number(requestedTimeout);
  const rest = match?.[2] ?? '/';
  return {
    kind: 'head',
    request: {
      requestId: head.requestId,
      service: service.name,
      method: head.method,
      path: rest.startsWith('/') ? rest : `/${rest}`,
      headers: forwardedFields(rawHeaders).filter(
        ({ name: field }) => !ENTRY_ONLY_FIELDS.has(field),
      ),
      team: firstValueOf('basilcourse-team') || service.team,
      unrepeatable: firstValueOf('basilcourse-unrepeatable') === 'true',
      idempotencyKey: firstValueOf('idempotency-key'),
      arrivedAt: head.arrivedAt,
      deadline: head.arrivedAt + timeout,
    },
  };
}
