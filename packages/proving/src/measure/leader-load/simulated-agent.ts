import { Writable } from 'node:stream';

import { AgentSession } from '@basilcourse/job-nodes/leader/agent-session';
import type { Leader } from '@basilcourse/job-nodes/leader/leader';
import type { LeaderMessage } from '@basilcourse/job-nodes/lines/leader-message';
import { ReportDecoder } from '@basilcourse/job-nodes/lines/report-decoder';
import type { ReportDelta } from '@basilcourse/job-nodes/lines/report-delta';
import { ReportEncoder } from '@basilcourse/job-nodes/lines/report-encoder';
import type { TimeSource } from '@basilcourse/job-nodes/time/time-source';
import type { AgentReport } from '@basilcourse/jobs/model/agent-report';
import type { RunEnd } from '@basilcourse/jobs/model/run-end';
import type { RunningTask } from '@basilcourse/jobs/model/running-task';
import type { StartOrder } from '@basilcourse/jobs/model/start-order';

import type { RunBehaviour } from './run-behaviour.js';

/** Interval of the reports while batch tasks run beside serving tasks. */
const REPORT_INTERVAL_MILLISECONDS = 450;

const HEARTBEAT_INTERVAL_MILLISECONDS = 500;

/** Progress of a run in the middle, and of a serving task at work. */
const RUNNING_PERCENT = 50;

const READY_PERCENT = 100;

const MINION_CAPACITY = {
  processorMillicores: 32_000,
  memoryMegabytes: 128_000,
  accelerators: 0,
};

interface SimulatedRun {
  readonly order: StartOrder;
  readonly endsAt: number;
}

/** An agent with its minion, on an open stream to the leader. */
export class SimulatedAgent {
  public messagesSent = 0;

  public messagesReceived = 0;

  public charactersSent = 0;

  public charactersReceived = 0;

  public endedRuns = 0;

  private readonly runs = new Map<string, SimulatedRun>();

  private readonly encoder = new ReportEncoder();

  private readonly decoder: ReportDecoder;

  private readonly leader: Leader;

  private readonly session: AgentSession;

  private readonly time: TimeSource;

  private readonly behaviour: RunBehaviour;

  private readonly name: string;

  private readonly timers: NodeJS.Timeout[] = [];

  private ends: RunEnd[] = [];

  private endNumber = 0;

  public constructor(
    name: string,
    leader: Leader,
    time: TimeSource,
    behaviour: RunBehaviour,
  ) {
    this.name = name;
    this.decoder = new ReportDecoder(name);
    this.leader = leader;
    this.time = time;
    this.behaviour = behaviour;
    const output = new Writable({
      write: (chunk: Buffer, _encoding, callback) => {
        this.receive(chunk.toString('utf8'));
        callback();
      },
    });
    this.session = leader.agentStreams.attach(
      token => new AgentSession(name, token, output, time.now(), true),
    );
    this.timers.push(
      setInterval(() => {
        this.report();
      }, REPORT_INTERVAL_MILLISECONDS),
      setInterval(() => {
        this.beat();
      }, HEARTBEAT_INTERVAL_MILLISECONDS),
    );
    this.report();
  }

  /** Stops reporting. */
  public close(): void {
    this.timers.forEach(timer => {
      clearInterval(timer);
    });
  }

  private receive(text: string): void {
    this.charactersReceived += text.length;
    for (const line of text.split('\n').filter(Boolean)) {
      this.messagesReceived += 1;
      this.handle(JSON.parse(line) as LeaderMessage);
    }
  }

  private handle(message: LeaderMessage): void {
    if (message.kind === 'starts') {
      message.starts.forEach(order => {
        this.start(order);
      });
    } else if (message.kind === 'settled') {
      const { endsThrough } = message;
      this.ends = this.ends.filter(({ number }) => number > endsThrough);
    }
  }

  private start(order: StartOrder): void {
    const duration = this.behaviour.durationMilliseconds(order);
    const key = `${order.task}/${order.run}`;
    this.runs.set(key, { order, endsAt: this.time.steady() + duration });
    if (Number.isFinite(duration)) {
      setTimeout(() => {
        this.end(key, order);
      }, duration);
    }
  }

  private end(key: string, { task, run }: StartOrder): void {
    this.runs.delete(key);
    this.endNumber += 1;
    this.endedRuns += 1;
    const number = this.endNumber;
    this.ends.push({ number, task, run, reason: 'done', checkpoint: '' });
    this.report();
  }

  private report(): void {
    const now = this.time.steady();
    const running: RunningTask[] = [...this.runs.values()].map(({ order }) => ({
      task: order.task,
      run: order.run,
      checkpoint: order.traits.filling ? '00000bb87a21d94b' : '',
      percent:
        order.traits.tailTargetMilliseconds > 0
          ? READY_PERCENT
          : RUNNING_PERCENT,
      gauge: this.behaviour.gauge(order, now),
    }));
    const report: AgentReport = {
      fencingToken: this.session.fencingToken,
      minion: {
        incarnation: `${this.name}|minion|1`,
        service: 'service',
        zone: 'zone',
        capacity: MINION_CAPACITY,
        labels: ['a', 'r1-1'],
        draining: false,
        remainingMilliseconds: 0,
      },
      running,
      ends: this.ends,
      refusals: [],
      gone: [],
    };
    const line = JSON.stringify(this.encoder.encode(report, now));
    this.count(line.length);
    const received = this.decoder.decode(JSON.parse(line) as ReportDelta);
    this.leader.agentStreams.handleReport(this.session, received);
    this.leader.agentStreams.renewLeaseAfterReport(this.session, now);
  }

  private beat(): void {
    const sentAt = this.time.steady();
    this.count(JSON.stringify({ kind: 'beat', sentAt }).length);
    this.leader.agentStreams.renewLease(this.session, sentAt);
  }

  private count(characters: number): void {
    this.messagesSent += 1;
    this.charactersSent += characters;
  }
}
