import { markdownTable } from '../markdown-table.js';
import type { Measurement } from '../measurement.js';
import type { LeaderLoadFigures } from './leader-load-figures.js';
import { runLeaderLoad } from './run-leader-load.js';

const SEED = 21;

const VMS = [14, 54, 160, 300];

const HEADER = [
  'VMs',
  'tasks/s',
  'processor µs a task',
  'processor share',
  'messages in/s',
  'messages out/s',
  'KB in/s',
  'KB out/s',
  'appends/s',
  'KB stored/s',
  'log lines/s',
];

const MICROSECONDS_PER_MILLISECOND = 1000;

const MILLISECONDS_PER_SECOND = 1000;

const CHARACTERS_PER_KILOBYTE = 1000;

/** Measures what a leader costs, by the number of VMs at the same load a VM. */
export const measureLeaderLoad: Measurement = async print => {
  const rows: (readonly string[])[] = [HEADER];
  const sizes = process.argv[3]?.split(',').map(Number) ?? VMS;
  for (const vms of sizes) {
    rows.push(rowOf(vms, await runLeaderLoad(vms, 1, SEED)));
  }
  print(markdownTable(rows));
};

function rowOf(vms: number, figures: LeaderLoadFigures): readonly string[] {
  const seconds = figures.milliseconds / MILLISECONDS_PER_SECOND;
  const rate = (amount: number): string => (amount / seconds).toFixed(0);
  const kilobytes = (characters: number): string =>
    rate(characters / CHARACTERS_PER_KILOBYTE);
  return [
    String(vms),
    rate(figures.tasks),
    (figures.processorMicroseconds / figures.tasks).toFixed(0),
    (
      figures.processorMicroseconds /
      MICROSECONDS_PER_MILLISECOND /
      figures.milliseconds
    ).toFixed(3),
    rate(figures.messagesIn),
    rate(figures.messagesOut),
    kilobytes(figures.charactersIn),
    kilobytes(figures.charactersOut),
    rate(figures.appends),
    kilobytes(figures.storedCharacters),
    rate(figures.lines),
  ];
}
