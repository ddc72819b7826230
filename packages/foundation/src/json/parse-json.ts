import { messageOf } from '../errors/message-of.js';
import { UnreadableMessageError } from '../errors/unreadable-message-error.js';

/** Lists and objects may be nested this deep; deeper ones exhaust the memory. */
const MAXIMUM_DEPTH = 32;

const DEPTH_CHANGES: Readonly<Record<string, number>> = {
  '[': 1,
  '{': 1,
  ']': -1,
  '}': -1,
};

/**
 * Parses JSON from a peer.
 *
 * @param step - Name of the step in error messages, in the form `part.action`.
 * @throws UnreadableMessageError when the text is not JSON, or nested too deeply.
 */
export function parseJson(step: string, peer: string, text: string): unknown {
  if (isTooDeep(text)) {
    const reason = `nested deeper than ${MAXIMUM_DEPTH}`;
    throw new UnreadableMessageError(step, peer, reason);
  }
  try {
    return JSON.parse(text);
  } catch (error) {
    throw new UnreadableMessageError(step, peer, messageOf(error));
  }
}

function isTooDeep(text: string): boolean {
  let depth = 0;
  let inString = false;
  for (let position = 0; position < text.length; position += 1) {
    const character = text.charAt(position);
    if (character === '"') {
      inString = !inString;
    } else if (inString) {
      position += Number(character === '\\');
    } else {
      depth += DEPTH_CHANGES[character] ?? 0;
    }
    if (depth > MAXIMUM_DEPTH) {
      return true;
    }
  }
  return false;
}
