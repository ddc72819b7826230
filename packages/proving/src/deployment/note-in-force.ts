import type { Node } from '@basilcourse/daemon/node/node';

/** Returns whether a node has applied a release note and accepted it. */
export function noteInForce(node: Node, note: string): boolean {
  const { verdicts } = node.core.state.fold.configuration;
  return [...verdicts.values()].some(
    ({ name, accepted }) => name === note && accepted,
  );
}
