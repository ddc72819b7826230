/** Release note of the demo: one service and some batch jobs. */
export function demoNote(jobs: number): string {
  const sections = Array.from(
    { length: jobs },
    (_, index) => `
[job reconciliation-${index + 1}]
team = offices
task-kind = reconciliation
processors = 3
memory-gigabytes = 8
declared-seconds = 3
`,
  );
  return `
[note]
name = first-note
operator = demo
based-on = 0

[limits]
latency-weight = 0.8

[shape standard]
processors = 16
memory-gigabytes = 62

[team docks]
processors = 40
memory-gigabytes = 160

[team offices]
processors = 40
memory-gigabytes = 160

[service labels]
team = docks
task-kind = label
minions = 4
processors = 4
memory-gigabytes = 8
timeout-milliseconds = 2000
target-milliseconds = 60
${sections.join('')}`;
}
