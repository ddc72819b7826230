import { rendezvousRank } from '@basilcourse/foundation/util/rendezvous-rank';

/** Name of the cell whose holder writes snapshots; it has no workers. */
export const SNAPSHOT_CELL = 'snapshots';

/** Name of a cell of workers. */
export function cellName(region: string, number: number): string {
  return `${region}/${number}`;
}

/** Names of the cells of a region. */
export function cellNames(region: string, count: number): readonly string[] {
  return Array.from({ length: count }, (_, number) => cellName(region, number));
}

/** Name of the cell that a worker belongs to. */
export function cellOfWorker(
  worker: string,
  region: string,
  count: number,
): string {
  const names = cellNames(region, count);
  return rendezvousRank(worker, names)[0] ?? cellName(region, 0);
}
