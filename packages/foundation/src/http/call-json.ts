import { messageOf } from '../errors/message-of.js';
import { PeerRefusedError } from '../errors/peer-refused-error.js';
import { PeerUnreachableError } from '../errors/peer-unreachable-error.js';
import { callHttp } from './call-http.js';
import type { JsonCall } from './json-call.js';

function refusalReason(text: string): string {
  try {
    const parsed = JSON.parse(text) as { readonly error?: unknown };
    return typeof parsed.error === 'string' ? parsed.error : text;
  } catch {
    return text;
  }
}

/**
 * Makes one call with a JSON body and returns the parsed response body.
 *
 * @throws PeerUnreachableError when no complete response arrives, or its body
 * is not valid JSON.
 * @throws PeerRefusedError when the status is not in the range 200 to 299.
 */
export async function callJson(call: JsonCall): Promise<unknown> {
  const body = call.body === undefined ? '' : JSON.stringify(call.body);
  const { status, body: responseBody } = await callHttp({
    ...call,
    headers: { 'content-type': 'application/json', ...call.headers },
    body: Buffer.from(body),
  });
  const text = responseBody.toString('utf8');
  if (status < 200 || status > 299) {
    const reason = refusalReason(text);
    throw new PeerRefusedError(call.step, call.address, status, reason);
  }
  try {
    return text === '' ? undefined : JSON.parse(text);
  } catch (error) {
    throw new PeerUnreachableError(call.step, call.address, messageOf(error));
  }
}
