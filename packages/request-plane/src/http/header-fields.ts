import type { HeaderField } from '@basilcourse/wire/request_plane_pb';

/** A header field as a plain object, without the properties of a message. */
export type PlainHeaderField = Pick<HeaderField, 'name' | 'value'>;

/** Fields that apply to one connection only (RFC 9110, section 7.6.1). */
const CONNECTION_FIELDS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'content-length',
  'host',
  'expect',
]);

/** Returns the fields of Node's raw header list that may be forwarded. */
export function forwardedFields(
  rawHeaders: readonly string[],
): readonly PlainHeaderField[] {
  const named = new Set<string>();
  const fields: PlainHeaderField[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = (rawHeaders[index] ?? '').toLowerCase();
    const value = rawHeaders[index + 1] ?? '';
    fields.push({ name, value });
    if (name === 'connection') {
      for (const token of value.split(',')) {
        named.add(token.trim().toLowerCase());
      }
    }
  }
  return fields.filter(
    ({ name }) => !CONNECTION_FIELDS.has(name) && !named.has(name),
  );
}

/** Converts fields to the headers that Node's `http` module takes. */
export function rawHeadersOf(
  fields: readonly PlainHeaderField[],
): Record<string, string[]> {
  const headers: Record<string, string[]> = {};
  for (const { name, value } of fields) {
    (headers[name] ??= []).push(value);
  }
  return headers;
}
