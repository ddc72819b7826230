import { callJson } from '@basilcourse/foundation/http/call-json';
import type { RandomSource } from '@basilcourse/foundation/random/random-source';
import type { RequestRecorder } from '@basilcourse/platform-stand-in/upstream/request-recorder';
import type { UpstreamBehaviour } from '@basilcourse/platform-stand-in/upstream/upstream-behaviour';
import { UpstreamStandIn } from '@basilcourse/platform-stand-in/upstream/upstream-stand-in';
import type { TaskHooks } from '@basilcourse/platform-stand-in/worker/task-hooks';
import type { StartCommand } from '@basilcourse/scheduler/platform/start-command';

const ANNOUNCE_MILLISECONDS = 500;

const ANNOUNCE_TIMEOUT_MILLISECONDS = 1000;

/** Parts of the upstreams of one VM. */
interface HostParts {
  readonly witness: RequestRecorder;
  readonly random: RandomSource;
  readonly behaviourOf: (attempt: string) => UpstreamBehaviour;
  /** Local address of the agent on the VM; empty while there is none. */
  readonly agentAddress: () => string;
  /** Told when the graceful end of an attempt is complete. */
  readonly drained: (attempt: string) => void;
}

interface HostedUpstream {
  readonly command: StartCommand;
  readonly upstream: UpstreamStandIn;
  readonly address: string;
  readonly timer: NodeJS.Timeout;
  readonly leaving: boolean;
}

/** Runs upstream stand-ins for the service tasks of one worker stand-in. */
export class UpstreamHost implements TaskHooks {
  private readonly hosted = new Map<string, HostedUpstream>();

  public constructor(private readonly parts: HostParts) {}

  public get upstreams(): readonly UpstreamStandIn[] {
    return [...this.hosted.values()].map(({ upstream }) => upstream);
  }

  public readonly onStarted = (command: StartCommand): void => {
    if (command.role === 'service') {
      void this.begin(command);
    }
  };

  /** Lets an upstream announce that it leaves; it finishes what it has. */
  public async leave(attempt: string): Promise<void> {
    const known = this.hosted.get(attempt);
    if (known !== undefined) {
      this.hosted.set(attempt, { ...known, leaving: true });
      await this.announce(attempt);
    }
  }

  public readonly onStopping = (attempt: string): void => {
    const known = this.hosted.get(attempt);
    if (known === undefined) {
      return;
    }
    void this.leave(attempt).then(() => {
      known.upstream.whenIdle(() => {
        this.parts.drained(attempt);
      });
    });
  };

  public readonly onStopped = (attempt: string): void => {
    const known = this.hosted.get(attempt);
    if (known === undefined) {
      return;
    }
    clearInterval(known.timer);
    this.hosted.delete(attempt);
    void this.send(known, true);
    void known.upstream.kill();
  };

  /** Ends all upstreams without a word, as when the VM dies. */
  public async killAll(): Promise<void> {
    const all = [...this.hosted.values()];
    this.hosted.clear();
    for (const { timer } of all) {
      clearInterval(timer);
    }
    await Promise.all(all.map(({ upstream }) => upstream.kill()));
  }

  private async begin(command: StartCommand): Promise<void> {
    const { behaviourOf, witness, random } = this.parts;
    const { attempt, slots } = command;
    const behaviour = behaviourOf(attempt);
    const upstream = new UpstreamStandIn(
      attempt,
      slots,
      behaviour,
      witness,
      random,
    );
    const address = await upstream.listen();
    const timer = setInterval(() => {
      void this.announce(attempt);
    }, ANNOUNCE_MILLISECONDS);
    const hosted = { command, upstream, address, timer, leaving: false };
    this.hosted.set(attempt, hosted);
    await this.announce(attempt);
  }

  private async announce(attempt: string): Promise<void> {
    const known = this.hosted.get(attempt);
    if (known !== undefined) {
      await this.send(known, false);
    }
  }

  private async send(hosted: HostedUpstream, left: boolean): Promise<void> {
    const address = this.parts.agentAddress();
    if (address === '') {
      return;
    }
    const { command, leaving } = hosted;
    const { service, attempt, slots, connections } = command;
    await callJson({
      step: 'upstream.announce',
      address,
      method: 'POST',
      path: '/upstreams',
      body: {
        service,
        attempt,
        address: hosted.address,
        slots,
        connections,
        leaving,
        left,
      },
      timeoutMilliseconds: ANNOUNCE_TIMEOUT_MILLISECONDS,
    }).catch(() => undefined);
  }
}
