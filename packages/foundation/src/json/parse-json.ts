import { messageOf } from '../errors/message-of.js';
import { UnreadableMessageError } from '../errors/unreadable-message-error.js';

/** Lists and objects may be nested this deep; deeper ones exhaust the memory. */
const MAXIMUM_DEPTH = 32;

const QUOTE = 0x22;

const BACKSLASH = 0x5c;

const OPENING_BRACKET = 0x5b;

const CLOSING_BRACKET = 0x5d;

const OPENING_BRACE = 0x7b;

const CLOSING_BRACE = 0x7d;

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
  const openings = countOf('[', text) + countOf('{', text);
  return openings > MAXIMUM_DEPTH && depthOf(text) > MAXIMUM_DEPTH;
}

function countOf(character: string, text: string): number {
  return text.split(character).length - 1;
}

/** Returns the depth of the deepest list or object. */
function depthOf(text: string): number {
  let depth = 0;
  let deepest = 0;
  let inString = false;
  for (let position = 0; position < text.length; position += 1) {
    const code = text.charCodeAt(position);
    if (code === QUOTE) {
      inString = !inString;
    } else if (inString) {
      position += code === BACKSLASH ? 1 : 0;
    } else if (code === OPENING_BRACKET || code === OPENING_BRACE) {
      depth += 1;
      deepest = Math.max(deepest, depth);
    } else if (code === CLOSING_BRACKET || code === CLOSING_BRACE) {
      depth -= 1;
    }
  }
  return deepest;
}
