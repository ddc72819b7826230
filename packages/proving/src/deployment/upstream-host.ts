import { callJson } from '@basilcourse/foundation/http/call-json';
import type { RandomSource } from '@basilcourse/foundation/random/random-source';
import type { RequestRecorder } from '@basilcourse/platform-stand-in/upstream/request-recorder';
import type { UpstreamBehaviour } from '@basilcourse/platform-stand-in/upstream/upstream-behaviour';
import { UpstreamStandIn } from '@basilcourse/platform-stand-in/upstream/upstream-stand-in';
import type { TaskHooks } from '@basilcourse/platform-stand-in/worker/task-hooks';
import type { StartCommand } from '@basilcourse/scheduler/platform/start-command';

const ANNOUNCE_INTERVAL_MILLISECONDS = 500;

const ANNOUNCE_TIMEOUT_MILLISECONDS = 1000;

/** Dependencies of the host of one VM's upstreams. */
interface HostDependencies {
  readonly requestRecorder: RequestRecorder;
  readonly random: RandomSource;
  readonly behaviourOf: (attempt: string) => UpstreamBehaviour;
  /** Local address of the agent on the VM; empty while there is none. */
  readonly agentAddress: () => string;
  /** Called when a stopping upstream has completed its last request. */
  readonly onDrained: (attempt: string) => void;
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

  public constructor(private readonly dependencies: HostDependencies) {}

  public get upstreams(): readonly UpstreamStandIn[] {
    return [...this.hosted.values()].map(({ upstream }) => upstream);
  }

  public readonly onStarted = (command: StartCommand): void => {
    if (command.role === 'service') {
      void this.startUpstream(command);
    }
  };

  /** Announces that an upstream is leaving; its running requests complete. */
  public async announceLeaving(attempt: string): Promise<void> {
    const hosted = this.hosted.get(attempt);
    if (hosted !== undefined) {
      this.hosted.set(attempt, { ...hosted, leaving: true });
      await this.announce(attempt);
    }
  }

  public readonly onStopping = (attempt: string): void => {
    const hosted = this.hosted.get(attempt);
    if (hosted === undefined) {
      return;
    }
    void this.announceLeaving(attempt).then(() => {
      hosted.upstream.whenIdle(() => {
        this.dependencies.onDrained(attempt);
      });
    });
  };

  public readonly onStopped = (attempt: string): void => {
    const hosted = this.hosted.get(attempt);
    if (hosted === undefined) {
      return;
    }
    clearInterval(hosted.timer);
    this.hosted.delete(attempt);
    void this.sendAnnouncement(hosted, true);
    void hosted.upstream.kill();
  };

  /** Ends all upstreams without an announcement, as when the VM is lost. */
  public async killAll(): Promise<void> {
    const all = [...this.hosted.values()];
    this.hosted.clear();
    for (const { timer } of all) {
      clearInterval(timer);
    }
    await Promise.all(all.map(({ upstream }) => upstream.kill()));
  }

  private async startUpstream(command: StartCommand): Promise<void> {
    const { behaviourOf, requestRecorder, random } = this.dependencies;
    const { attempt, slots } = command;
    const behaviour = behaviourOf(attempt);
    const upstream = new UpstreamStandIn(
      attempt,
      slots,
      behaviour,
      requestRecorder,
      random,
    );
    const address = await upstream.listen();
    const timer = setInterval(() => {
      void this.announce(attempt);
    }, ANNOUNCE_INTERVAL_MILLISECONDS);
    const hosted = { command, upstream, address, timer, leaving: false };
    this.hosted.set(attempt, hosted);
    await this.announce(attempt);
  }

  private async announce(attempt: string): Promise<void> {
    const hosted = this.hosted.get(attempt);
    if (hosted !== undefined) {
      await this.sendAnnouncement(hosted, false);
    }
  }

  private async sendAnnouncement(
    hosted: HostedUpstream,
    left: boolean,
  ): Promise<void> {
    const address = this.dependencies.agentAddress();
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
