import { editDistance } from './edit-distance.js';

/**
 * Maximum edit distance of a suggestion, as a share of the length of the name
 * found.
 */
const MAXIMUM_DISTANCE_SHARE = 0.5;

/**
 * Returns the defined name closest to the one found, if any is close enough.
 */
export function nearestName(
  found: string,
  definedNames: readonly string[],
): string | undefined {
  const ranked = definedNames
    .map(name => ({ name, distance: editDistance(found, name) }))
    .sort((left, right) => left.distance - right.distance);
  const best = ranked[0];
  return best !== undefined &&
    best.distance <= found.length * MAXIMUM_DISTANCE_SHARE
    ? best.name
    : undefined;
}
