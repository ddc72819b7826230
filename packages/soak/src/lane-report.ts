import type { Trace } from './trace.js';

const LANE_HEIGHT = 18;

const LABEL_WIDTH = 210;

const PIXELS_PER_SECOND = 12;

const MILLISECONDS_PER_SECOND = 1000;

const COLOURS = {
  up: '#cfe8cf',
  ended: '#c03030',
  run: '#3060b0',
  trouble: '#e0a030',
} as const;

/** A mark in the lane of a process, a minion or a part that has a trouble. */
interface Mark {
  readonly lane: string;
  readonly from: number;
  readonly until: number;
  readonly colour: string;
  readonly text: string;
}

/** Draws a lane for each process, minion and kind of trouble, as SVG. */
export function laneReport(events: Trace['events']): string {
  const end = events.at(-1)?.at ?? 0;
  const marks = marksOf(events, end);
  const lanes = [...new Set(marks.map(({ lane }) => lane))].sort();
  const width =
    LABEL_WIDTH + (end / MILLISECONDS_PER_SECOND) * PIXELS_PER_SECOND;
  const height = (lanes.length + 1) * LANE_HEIGHT;
  const labels = lanes.map(
    (lane, row) =>
      `<text x="4" y="${(row + 1) * LANE_HEIGHT - 4}">${lane}</text>`,
  );
  const shapes = marks.map(mark => shapeOf(mark, lanes.indexOf(mark.lane)));
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${height}" font-family="sans-serif" font-size="11">`,
    ...labels,
    ...shapes,
    '</svg>',
    '',
  ].join('\n');
}

function marksOf(events: Trace['events'], end: number): readonly Mark[] {
  const marks: Mark[] = [];
  const startedAt = new Map<string, number>();
  for (const { at, event } of events) {
    if (event.kind === 'trouble') {
      const lane = `trouble: ${event.target}`;
      const until = at + event.milliseconds;
      const { name: text } = event;
      marks.push({ lane, from: at, until, colour: COLOURS.trouble, text });
    } else if (event.kind === 'process') {
      marks.push({
        lane: event.name,
        from: at,
        until: event.change === 'started' ? end : at,
        colour: event.change === 'started' ? COLOURS.up : COLOURS.ended,
        text: event.change,
      });
    } else if (event.kind === 'run') {
      const { kind, task, run, minion, reason } = event.event;
      const key = `${task}/${run}`;
      if (kind === 'started') {
        startedAt.set(key, at);
      } else if (kind === 'ended' || kind === 'lost') {
        const from = startedAt.get(key) ?? at;
        const text = `${key} ${reason}`;
        marks.push({
          lane: minion,
          from,
          until: at,
          colour: COLOURS.run,
          text,
        });
      }
    }
  }
  return marks;
}

function shapeOf(mark: Mark, row: number): string {
  const scale = PIXELS_PER_SECOND / MILLISECONDS_PER_SECOND;
  const x = LABEL_WIDTH + mark.from * scale;
  const width = Math.max(2, (mark.until - mark.from) * scale);
  const y = row * LANE_HEIGHT + 2;
  return `<rect x="${x}" y="${y}" width="${width}" height="${LANE_HEIGHT - 4}" fill="${mark.colour}" fill-opacity="0.6"><title>${mark.text}</title></rect>`;
}
