import type { CallResult } from '@basilcourse/platform-stand-in/caller/job-caller';
import type { JobRequest } from '@basilcourse/platform-stand-in/caller/job-request';
import type { MinionEvent } from '@basilcourse/platform-stand-in/minion/minion-event';

import type { SoakEvent } from './soak-event.js';
import { SuccessWatch } from './success-watch.js';

/** Room of each minion. */
interface Room {
  readonly processorMillicores: number;
  readonly memoryMegabytes: number;
}

interface JobState {
  readonly request: JobRequest;
  readonly results: Set<CallResult>;
  readonly done: Set<string>;
  /** Starts whose caller had been told nothing but refusals. */
  readonly unexplainedStarts: string[];
}

/**
 * Checks what must hold, whatever is done to the system, from what callers and
 * minions see: no two runs of a task at once, none after a success that was
 * acknowledged then or later, none beyond a minion's room, none out of order, none of a job that
 * was refused; and at the end no accepted job that is lost.
 */
export class PromiseChecker {
  /** Descriptions of what was broken. */
  public readonly breaches: string[] = [];

  private readonly room: Room;

  private readonly jobs = new Map<string, JobState>();

  /** Open runs by task, each with its minion. */
  private readonly open = new Map<string, Map<number, string>>();

  private readonly successes = new SuccessWatch();

  private readonly cancelled = new Set<string>();

  /** Jobs whose caller was not told whether they are cancelled. */
  private readonly perhapsCancelled = new Set<string>();

  private readonly handlers: Readonly<
    Record<MinionEvent['kind'], (event: MinionEvent) => void>
  > = {
    started: event => {
      this.checkStart(event);
    },
    ended: event => {
      this.recordEnd(event);
    },
    lost: event => {
      this.recordEnd(event);
    },
    acknowledged: ({ task, run, reason }) => {
      if (reason === 'done') {
        this.breaches.push(...this.successes.acknowledge(task, run));
      }
    },
    forgotten: () => undefined,
  };

  /**
   * @param room - Room of each minion.
   */
  public constructor(room: Room) {
    this.room = room;
  }

  /** Identifiers of jobs that were accepted, and not cancelled. */
  public accepted(): readonly JobRequest[] {
    return [...this.jobs.values()]
      .filter(({ results }) => results.has('done'))
      .map(({ request }) => request)
      .filter(
        ({ identifier }) =>
          !this.cancelled.has(identifier) &&
          !this.perhapsCancelled.has(identifier),
      );
  }

  /** Applies an event; an event that breaks a promise adds a breach. */
  public apply(event: SoakEvent): void {
    switch (event.kind) {
      case 'submitted':
        this.jobs.set(event.job.identifier, {
          request: event.job,
          results: new Set(),
          done: new Set(),
          unexplainedStarts: [],
        });
        return;
      case 'answered':
        this.recordAnswer(event.call, event.identifier, event.result);
        return;
      case 'run':
        this.handlers[event.event.kind](event.event);
        return;
      case 'shown':
      case 'trouble':
      case 'process':
        return;
    }
  }

  /** Returns what an accepted job lacks in a state; undefined if nothing. */
  public lackOf(job: JobRequest, state: string): string | undefined {
    const { identifier } = job;
    const lasting = job.steps.some(step => step.lasting);
    if (state !== (lasting ? 'running' : 'completed')) {
      return `job ${identifier} was accepted and is shown as '${state}'`;
    }
    return lasting && this.openRunsOf(identifier) === 0
      ? `job ${identifier} is to last, and nothing of it runs`
      : undefined;
  }

  /** Checks at the end that nothing runs of jobs that were cancelled or refused. */
  public checkUnwanted(): void {
    for (const { unexplainedStarts } of this.jobs.values()) {
      this.breaches.push(
        ...unexplainedStarts.map(text => `${text} began, and was not accepted`),
      );
    }
    for (const identifier of this.cancelled) {
      const runs = this.openRunsOf(identifier);
      if (runs > 0) {
        this.breaches.push(`job ${identifier} was cancelled, and ${runs} run`);
      }
    }
  }

  private recordAnswer(
    call: 'submit' | 'cancel',
    identifier: string,
    result: CallResult,
  ): void {
    if (call === 'submit') {
      const job = this.jobs.get(identifier);
      job?.results.add(result);
      this.checkRefusal(job, result);
    } else if (result === 'done') {
      this.cancelled.add(identifier);
    } else if (result === 'unknown') {
      this.perhapsCancelled.add(identifier);
    }
  }

  /**
   * Checks a job that began before its caller was answered: the answer must not
   * be a refusal.
   */
  private checkRefusal(job: JobState | undefined, result: CallResult): void {
    const starts = job?.unexplainedStarts.splice(0) ?? [];
    if (result === 'refused') {
      this.breaches.push(
        ...starts.map(text => `${text} began though the job was refused`),
      );
    }
  }

  private checkStart(event: MinionEvent): void {
    const { task, run, minion } = event;
    const text = `${task} run ${run} on ${minion}`;
    const runs = this.open.get(task) ?? new Map<number, string>();
    for (const [other, place] of runs) {
      this.breaches.push(`${text} began while run ${other} is on ${place}`);
    }
    this.breaches.push(...this.successes.recordStart(task, text));
    runs.set(run, minion);
    this.open.set(task, runs);
    const [identifier = '', occurrence = '', step = ''] = task.split('.');
    const job = this.jobs.get(identifier);
    if (job === undefined) {
      this.breaches.push(`${text} began, which nobody asked for`);
      return;
    }
    if (!job.results.has('done') && !job.results.has('unknown')) {
      job.unexplainedStarts.push(text);
    }
    this.checkOrder(job, text, occurrence, Number(step));
    this.checkRoom(minion, text);
  }

  private checkOrder(
    { request, done }: JobState,
    text: string,
    occurrence: string,
    step: number,
  ): void {
    for (const earlier of request.steps[step]?.after ?? []) {
      const count = request.steps[earlier]?.tasks ?? 0;
      for (let index = 0; index < count; index += 1) {
        if (!done.has(`${occurrence}.${earlier}.${index}`)) {
          this.breaches.push(`${text} began before step ${earlier} was done`);
          return;
        }
      }
    }
  }

  private checkRoom(minion: string, text: string): void {
    let processor = 0;
    let memory = 0;
    for (const [task, runs] of this.open) {
      const [identifier = '', , step = ''] = task.split('.');
      const demand = this.jobs.get(identifier)?.request.steps[Number(step)];
      for (const place of runs.values()) {
        processor += place === minion ? (demand?.processorMillicores ?? 0) : 0;
        memory += place === minion ? (demand?.memoryMegabytes ?? 0) : 0;
      }
    }
    const { processorMillicores, memoryMegabytes } = this.room;
    if (processor > processorMillicores || memory > memoryMegabytes) {
      this.breaches.push(`${text} began where there is no room for it`);
    }
  }

  private recordEnd({ task, run, reason }: MinionEvent): void {
    const runs = this.open.get(task);
    runs?.delete(run);
    if (runs?.size === 0) {
      this.open.delete(task);
    }
    if (reason === 'done') {
      const [identifier = '', ...place] = task.split('.');
      this.jobs.get(identifier)?.done.add(place.join('.'));
      this.successes.recordSuccess(task, run);
    }
  }

  private openRunsOf(identifier: string): number {
    return [...this.open.keys()].filter(task =>
      task.startsWith(`${identifier}.`),
    ).length;
  }
}
