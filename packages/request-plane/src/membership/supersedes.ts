import type { Member, MemberState } from './member.js';

/** Of two reports with the same incarnation, the higher state wins. */
const STATE_PRECEDENCE: Readonly<Record<MemberState, number>> = {
  alive: 0,
  suspect: 1,
  leaving: 2,
  dead: 3,
};

/**
 * Returns whether a report about a member replaces the recorded one, as in Das,
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
