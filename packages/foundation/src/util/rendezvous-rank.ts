import { createHash } from 'node:crypto';

function weightOf(key: string, node: string): string {
  return createHash('sha1').update(key).update('\0').update(node).digest('hex');
}

/**
 * Orders nodes for a key by highest random weight (rendezvous hashing).
 *
 * Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates",
 * IEEE/ACM Transactions on Networking, 1998. When a node joins or leaves, only
 * the keys for which it ranks first move.
 */
export function rendezvousRank(
  key: string,
  nodes: readonly string[],
): readonly string[] {
  const weighted = nodes.map(node => ({ node, weight: weightOf(key, node) }));
  weighted.sort((left, right) => (left.weight < right.weight ? 1 : -1));
  return weighted.map(({ node }) => node);
}
