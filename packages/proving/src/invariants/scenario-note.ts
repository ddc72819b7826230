/** Release note that is published at the start of a scenario. */
export function scenarioNote(jobs: number): string {
  const sections = Array.from(
    { length: jobs },
    (_, index) => `
[job job-${index}]
team = batch
task-kind = kind-${index % 3}
processors = ${2 + (index % 4)}
memory-gigabytes = ${4 + (index % 5) * 4}
declared-seconds = ${5 + (index % 6) * 5}
`,
  );
  return `
[note]
name = first
operator = operator
based-on = 0

[limits]
latency-weight = 0.8
task-lease-seconds = 5
store-outage-seconds = 40

[team front]
processors = 64
memory-gigabytes = 256

[team batch]
processors = 64
memory-gigabytes = 256

[service labels]
team = front
task-kind = label
minions = 3
processors = 3
memory-gigabytes = 6
${sections.join('')}`;
}

/** Header of a release note that is published later in the scenario. */
export function noteHeader(name: string, basedOn: number): string {
  return `
[note]
name = ${name}
operator = operator
based-on = ${basedOn}
`;
}
