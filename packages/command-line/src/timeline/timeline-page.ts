import type { Event } from '@basilcourse/foundation/events/event';

const LANE_WIDTH = 220;

const ROW_HEIGHT = 18;

const HEADER_HEIGHT = 40;

const TIME_WIDTH = 110;

const MAXIMUM_LABEL_LENGTH = 60;

function escape(text: string): string {
  return text
    .replaceAll('&', '&amp;')
    .replaceAll('<', '&lt;')
    .replaceAll('>', '&gt;')
    .replaceAll('"', '&quot;');
}

function laneOf(processes: readonly string[], name: string): number {
  return TIME_WIDTH + processes.indexOf(name) * LANE_WIDTH;
}

function rowOf(
  event: Event,
  index: number,
  processes: readonly string[],
): string {
  const x = laneOf(processes, event.process);
  const y = HEADER_HEIGHT + (index + 1) * ROW_HEIGHT;
  const time = new Date(event.timestamp.wall).toISOString().slice(11, 23);
  const label = escape(
    `${event.kind} ${event.text}`.slice(0, MAXIMUM_LABEL_LENGTH),
  );
  return [
    `<text x="4" y="${y}" class="time">${time}</text>`,
    `<circle cx="${x + 4}" cy="${y - 4}" r="3"><title>${escape(event.text)}</title></circle>`,
    `<text x="${x + 12}" y="${y}">${label}</text>`,
  ].join('');
}

/** Formats events as an HTML page with a lane for each process. */
export function timelinePage(events: readonly Event[]): string {
  const processes = [...new Set(events.map(event => event.process))].sort();
  const width = TIME_WIDTH + processes.length * LANE_WIDTH;
  const height = HEADER_HEIGHT + (events.length + 2) * ROW_HEIGHT;
  const lanes = processes.map(name => {
    const x = laneOf(processes, name) + 4;
    const head = `<text x="${x}" y="20" class="head">${escape(name)}</text>`;
    return `${head}<line x1="${x}" x2="${x}" y1="28" y2="${height}"/>`;
  });
  const rows = events.map((event, index) => rowOf(event, index, processes));
  return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>basilcourse time line</title>
<style>text{font:11px monospace}.head{font-weight:bold}.time{fill:#666}line{stroke:#ccc}circle{fill:#2a6}</style></head>
<body><svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${height}">
${lanes.join('\n')}
${rows.join('\n')}
</svg></body></html>
`;
}
