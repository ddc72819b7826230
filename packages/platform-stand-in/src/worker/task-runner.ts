import type { LeaseRenewal } from '@basilcourse/scheduler/platform/lease-renewal';
import type { StartCommand } from '@basilcourse/scheduler/platform/start-command';
import type { StopCommand } from '@basilcourse/scheduler/platform/stop-command';
import type { TaskReport } from '@basilcourse/scheduler/platform/task-report';
import type { WorkerReport } from '@basilcourse/scheduler/platform/worker-report';
import { sumOf } from '@basilcourse/shared-state/resources/sum-of';

import type { RunningTask } from './running-task.js';
import type { TaskRunnerOptions } from './task-runner-options.js';
import { UsageHistory } from './usage-history.js';

/** Completed work between two periodic checkpoints of a job. */
const CHECKPOINT_INTERVAL_SECONDS = 60;

/** Simulates the tasks of a worker, which progress only during `advance`. */
export class TaskRunner {
  private readonly running = new Map<string, RunningTask>();

  private readonly ended = new Map<string, TaskReport>();

  private readonly usage = new UsageHistory();

  private simulatedUntil: number;

  public constructor(private readonly options: TaskRunnerOptions) {
    this.simulatedUntil = options.clock.now();
  }

  private get name(): string {
    return this.options.description.worker;
  }

  public get tasks(): readonly RunningTask[] {
    return [...this.running.values()];
  }

  /** Removes all tasks and their reports, as when the VM is lost. */
  public clear(): void {
    for (const task of this.running.values()) {
      this.options.recorder.recordEnd(task.command.task, this.placeOf(task));
      this.options.hooks?.onStopped(task.command.attempt);
    }
    this.running.clear();
    this.ended.clear();
    this.usage.clear();
  }

  /** Current relative slowdown of an attempt caused by interference. */
  public slowdownOf(attempt: string): number {
    const task = this.running.get(attempt);
    return task === undefined ? 0 : 1 / this.speedOf(task) - 1;
  }

  public hasAttempt(attempt: string): boolean {
    return this.running.has(attempt) || this.ended.has(attempt);
  }

  public isRunning(attempt: string): boolean {
    return this.running.has(attempt);
  }

  public renew({ attempt, until }: LeaseRenewal): void {
    const task = this.running.get(attempt);
    if (task !== undefined) {
      const leaseUntil = Math.max(task.leaseUntil, until);
      this.running.set(attempt, { ...task, leaseUntil });
    }
  }

  public discardReport(attempt: string): void {
    this.ended.delete(attempt);
  }

  public throttle(attempt: string, share: number): void {
    const task = this.running.get(attempt);
    if (task !== undefined) {
      this.running.set(attempt, { ...task, throttle: share });
    }
  }

  /** Reports all tasks, with the latest usage sampled by the given time. */
  public report(usageBefore: number): WorkerReport {
    const running = this.tasks.map(task => this.reportOf(task));
    return {
      worker: this.name,
      tasks: [...running, ...this.ended.values()],
      usage: this.usage.samplesBefore(usageBefore),
    };
  }

  /** Starts the graceful stop of a running attempt. */
  public stop(command: StopCommand, now: number): void {
    const task = this.running.get(command.attempt);
    if (task?.stopAt !== 0) {
      return;
    }
    const checkpointSeconds = command.checkpoint
      ? task.doneSeconds
      : task.checkpointSeconds;
    const hasGracePeriod =
      this.options.hooks !== undefined && task.command.role === 'service';
    const stopAt = now + (hasGracePeriod ? command.graceMilliseconds : 0);
    this.running.set(command.attempt, { ...task, checkpointSeconds, stopAt });
    this.options.hooks?.onStopping(command.attempt);
  }

  /** Advances all tasks to the given time. */
  public advance(now: number): void {
    const seconds = Math.max(0, now - this.simulatedUntil) / 1000;
    this.simulatedUntil = Math.max(now, this.simulatedUntil);
    for (const [attempt, task] of this.running) {
      const speed = this.speedOf(task);
      this.running.set(attempt, this.withProgress(task, seconds * speed));
    }
    for (const task of this.tasks) {
      this.endIfDue(task, now);
    }
    this.usage.record(
      this.tasks.map(task => this.sampleOf(task, now)),
      now,
    );
  }

  /** Ends an attempt whose graceful stop is complete. */
  public completeStop(attempt: string): void {
    const task = this.running.get(attempt);
    if (task !== undefined) {
      this.end(task, 'stopped', 'graceful end');
    }
  }

  /** Starts an attempt; it fails immediately if a reason is given. */
  public start(command: StartCommand, now: number, failure: string): void {
    const { recorder, behaviour, hooks, description } = this.options;
    const resumedSeconds = Number(command.checkpoint.split('@')[1] ?? 0);
    const task: RunningTask = {
      command,
      startedAt: now,
      leaseUntil: command.leaseUntil,
      doneSeconds: resumedSeconds,
      checkpointSeconds: resumedSeconds,
      throttle: 1,
      stopAt: 0,
    };
    this.running.set(command.attempt, task);
    recorder.recordStart(command.task, this.placeOf(task), now);
    const sizes = this.tasks.map(other => other.command.resources);
    recorder.checkCapacity(this.name, sumOf(sizes), description.resources, now);
    const reason = failure === '' ? behaviour.failureReason(command) : failure;
    if (reason !== '') {
      this.end(task, 'failed', reason);
      return;
    }
    hooks?.onStarted(command);
  }

  private withProgress(task: RunningTask, addedSeconds: number): RunningTask {
    const doneSeconds = task.doneSeconds + addedSeconds;
    const isCheckpointDue =
      doneSeconds - task.checkpointSeconds >= CHECKPOINT_INTERVAL_SECONDS;
    const writesCheckpoint = isCheckpointDue && task.command.role === 'job';
    const checkpointSeconds = writesCheckpoint
      ? doneSeconds
      : task.checkpointSeconds;
    return { ...task, doneSeconds, checkpointSeconds };
  }

  private endIfDue(task: RunningTask, now: number): void {
    const { command } = task;
    const isDone =
      command.role === 'job' &&
      task.doneSeconds >= this.options.behaviour.actualSeconds(command);
    if (isDone) {
      this.end(task, 'finished', '');
    } else if (task.stopAt > 0 && now >= task.stopAt) {
      this.end(task, 'stopped', 'asked to stop');
    } else if (now >= task.leaseUntil) {
      this.end(task, 'lapsed', 'the lease has lapsed');
    }
  }

  private end(
    task: RunningTask,
    state: TaskReport['state'],
    reason: string,
  ): void {
    const { recorder, hooks } = this.options;
    const { attempt, task: name } = task.command;
    this.running.delete(attempt);
    this.ended.set(attempt, { ...this.reportOf(task), state, reason });
    recorder.recordEnd(name, this.placeOf(task));
    if (state === 'finished') {
      recorder.recordFinish(name);
    }
    hooks?.onStopped(attempt);
  }

  private reportOf(task: RunningTask): TaskReport {
    const { command, checkpointSeconds } = task;
    return {
      attempt: command.attempt,
      state: 'running',
      checkpoint:
        checkpointSeconds > 0 ? `${command.task}@${checkpointSeconds}` : '',
      uncheckpointedSeconds: Math.max(0, task.doneSeconds - checkpointSeconds),
      throttle: task.throttle,
      reason: '',
    };
  }

  private sampleOf(
    task: RunningTask,
    now: number,
  ): WorkerReport['usage'][number] {
    const { command } = task;
    const share = this.options.behaviour.usedShare(command.taskKind);
    return {
      attempt: command.attempt,
      taskKind: command.taskKind,
      at: now,
      processors: command.resources.processors * share * task.throttle,
      memoryGigabytes: command.resources.memoryGigabytes * share,
      cyclesPerInstruction: task.throttle / this.speedOf(task),
    };
  }

  private speedOf(task: RunningTask): number {
    const { behaviour } = this.options;
    let slowdown = 0;
    for (const other of this.running.values()) {
      if (other.command.attempt !== task.command.attempt) {
        const kind = task.command.taskKind;
        const added = behaviour.interference(kind, other.command.taskKind);
        slowdown += added * other.throttle;
      }
    }
    return task.throttle / (1 + slowdown);
  }

  private placeOf(task: RunningTask): string {
    return `${this.name} ${task.command.attempt}`;
  }
}
