import type { Node } from '@basilcourse/daemon/node/node';

/** Returns whether a node has accepted a release note into its state. */
export function noteInForce(node: Node, note: string): boolean {
  const { verdicts } = node.core.state.fold.configuration;
  return [...verdicts.values()].some(
    ({ name, accepted }) => name === note && accepted,
  );
}
