import type { Member, MemberState } from './member.js';

/** Of two statements with one incarnation the later state wins. */
const STATE_PRECEDENCE: Readonly<Record<MemberState, number>> = {
  alive: 0,
  suspect: 1,
  leaving: 2,
  dead: 3,
};

/**
 * Tells whether a statement about a member replaces the one known, as in Das,
 * Gupta and Motivala, "SWIM", DSN 2002.
 */
export function supersedes(candidate: Member, current: Member): boolean {
  if (candidate.instance !== current.instance) {
    return candidate.incarnation > current.incarnation;
  }
  return (
    candidate.incarnation > current.incarnation ||
    (candidate.incarnation === current.incarnation &&
      STATE_PRECEDENCE[candidate.state] > STATE_PRECEDENCE[current.state])
  );
}
