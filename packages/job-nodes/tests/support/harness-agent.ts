import type { Writable } from 'node:stream';
import { PassThrough } from 'node:stream';

import type { AgentReport } from '@basilcourse/jobs/model/agent-report';
import type { MinionDescription } from '@basilcourse/jobs/model/minion-description';

import { AgentSession } from '../../src/leader/agent-session.js';
import type { Leader } from '../../src/leader/leader.js';
import type { LeaderMessage } from '../../src/lines/leader-message.js';

/** The stream of an agent that the test simulates. */
export class HarnessAgent {
  public readonly messages: LeaderMessage[] = [];

  public readonly session: AgentSession;

  private readonly leader: Leader;

  /**
   * @param output - The agent's end of the stream; `messages` has what is written
   * to the default one.
   */
  public constructor(
    leader: Leader,
    name: string,
    now: number,
    output: Writable = this.createReader(),
  ) {
    this.leader = leader;
    this.session = leader.agentStreams.attach(
      token => new AgentSession(name, token, output, now),
    );
  }

  public report(fields: Partial<AgentReport>): void {
    this.leader.agentStreams.handleReport(this.session, {
      fencingToken: this.session.fencingToken,
      minion: this.describe(`${this.session.agent}|minion|1`),
      running: [],
      ends: [],
      refusals: [],
      gone: [],
      ...fields,
    });
  }

  /** Returns the description of an incarnation of the agent's minion. */
  public describe(incarnation: string): MinionDescription {
    return {
      incarnation,
      service: 'service',
      zone: 'zone',
      capacity: {
        processorMillicores: 4000,
        memoryMegabytes: 1000,
        accelerators: 0,
      },
      labels: [],
      draining: false,
      remainingMilliseconds: 0,
    };
  }

  private createReader(): PassThrough {
    const reader = new PassThrough();
    reader.on('data', (chunk: Buffer) => {
      const lines = chunk.toString('utf8').split('\n').filter(Boolean);
      this.messages.push(
        ...lines.map(line => JSON.parse(line) as LeaderMessage),
      );
    });
    return reader;
  }

  public startedTasks(): readonly string[] {
    return this.messages.flatMap(message =>
      message.kind === 'starts' ? message.starts.map(({ task }) => task) : [],
    );
  }
}
