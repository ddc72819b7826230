/** Which members of each gang's run are present, over all minions. */
export class Gangs {
  constructor() {
    this.runs = new Map();
  }

  /** Adds a member; the run works from the moment when all are present. */
  add(entry, minion) {
    const run = this.runOf(entry) ?? {
      members: new Map(),
      completeAt: 0,
      ending: false,
    };
    run.members.set(entry.task, { entry, minion });
    if (run.members.size === entry.gangSize) {
      run.completeAt = performance.now();
    }
    this.runs.set(keyOf(entry), run);
  }

  runOf(entry) {
    return this.runs.get(keyOf(entry));
  }

  /** Time in which the members worked together. */
  worked(entry) {
    const completeAt = this.runOf(entry)?.completeAt ?? 0;
    return completeAt === 0 ? 0 : performance.now() - completeAt;
  }

  /** Ends the run of all other members, as one member has ended. */
  leave(entry, how) {
    const run = this.runOf(entry);
    if (run === undefined || run.ending) {
      return;
    }
    run.ending = true;
    for (const other of run.members.values()) {
      if (other.entry !== entry) {
        other.minion.end(other.entry, how === 'done' ? 'done' : 'broken');
      }
    }
    this.runs.delete(keyOf(entry));
  }
}

function keyOf({ task, run }) {
  return `${task.slice(0, task.lastIndexOf('.'))}/${run}`;
}
