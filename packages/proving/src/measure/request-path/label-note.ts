/** Release note with one service that has a number of minions. */
export function labelNote(minions: number): string {
  return `
[note]
name = labels
operator = measure
based-on = 0

[team docks]
processors = 10000
memory-gigabytes = 40000

[service labels]
team = docks
task-kind = label
minions = ${minions}
processors = 4
memory-gigabytes = 8
target-milliseconds = 100000
`;
}
