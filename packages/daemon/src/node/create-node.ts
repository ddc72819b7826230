import type { Settings } from '../settings/settings.js';
import { AgentNode } from './agent-node.js';
import { EntryNode } from './entry-node.js';
import type { Node } from './node.js';
import { createNodeCore } from './node-core.js';
import type { NodeDependencies } from './node-dependencies.js';

/** Creates the node of a role. */
export type NodeFactory = (
  settings: Settings,
  dependencies: NodeDependencies,
) => Node;

const factories: Readonly<Record<Settings['role'], NodeFactory>> = {
  entry: (settings, dependencies) =>
    new EntryNode(createNodeCore(settings, dependencies)),
  agent: (settings, dependencies) =>
    new AgentNode(createNodeCore(settings, dependencies)),
};

/** Creates the node of the role in the settings; it is idle until started. */
export function createNode(
  settings: Settings,
  dependencies: NodeDependencies,
): Node {
  return factories[settings.role](settings, dependencies);
}
