import { messageOf } from '../errors/message-of.js';
import { PeerRefusedError } from '../errors/peer-refused-error.js';
import { PeerUnreachableError } from '../errors/peer-unreachable-error.js';
import { exchange } from './exchange.js';
import type { JsonCall } from './json-call.js';

function reasonOf(text: string): string {
  try {
    const parsed = JSON.parse(text) as { readonly error?: unknown };
    return typeof parsed.error === 'string' ? parsed.error : text;
  } catch {
    return text;
  }
}

/**
 * Sends a JSON call over HTTP and returns the parsed answer.
 *
 * @throws PeerUnreachableError when no whole answer arrived.
 * @throws PeerRefusedError when the answer's status is not a success.
 */
export async function callJson(call: JsonCall): Promise<unknown> {
  const body = call.body === undefined ? '' : JSON.stringify(call.body);
  const { status, body: answer } = await exchange({
    ...call,
    headers: { 'content-type': 'application/json', ...call.headers },
    body: Buffer.from(body),
  });
  const text = answer.toString('utf8');
  if (status < 200 || status > 299) {
    const reason = reasonOf(text);
    throw new PeerRefusedError(call.step, call.address, status, reason);
  }
  try {
    return text === '' ? undefined : JSON.parse(text);
  } catch (error) {
    throw new PeerUnreachableError(call.step, call.address, messageOf(error));
  }
}
