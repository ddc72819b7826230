import { randomUUID } from 'node:crypto';
import type { Server } from 'node:http';

import { listenOn } from '@basilcourse/foundation/net/listen-on';

import { ConfigurationHolder } from '../configuration/configuration-holder.js';
import { Leader } from '../leader/leader.js';
import { Leadership } from '../leadership/leadership.js';
import type { EntryOptions } from './entry-options.js';
import type { EntryStatistics } from './entry-statistics.js';
import { createInternalServer } from './internal-server.js';
import { JobGateway } from './job-gateway.js';
import { LeaderMonitor } from './leader-monitor.js';
import type { WatchMessage } from './watch-message.js';
import { WatchStreams } from './watch-streams.js';

/** Leader statistics of an entry that is not the leader. */
const NO_LEADER_STATISTICS = {
  agents: 0,
  jobs: 0,
  waitingJobs: 0,
  pendingAppendMilliseconds: 0,
};

const WATCH_HEARTBEAT_INTERVAL_MILLISECONDS = 500;

/** A process that callers connect to; one of the entries is the leader. */
export class EntryProcess {
  public readonly configuration = new ConfigurationHolder();

  public readonly gateway: JobGateway;

  public readonly leadership: Leadership;

  private readonly options: EntryOptions;

  private readonly incarnation = randomUUID();

  private readonly watchStreams: WatchStreams;

  private readonly internalServer: Server;

  private leader: Leader | undefined;

  /** The most processor time that another entry can use, as the leader told. */
  private reportedMostCores = 0;

  public constructor(options: EntryOptions) {
    this.options = options;
    const localLeader = (): Leader | undefined => this.leader;
    this.leadership = new Leadership({
      name: options.name,
      incarnation: this.incarnation,
      address: options.internalAddress,
      log: options.leadershipLog,
      time: options.time,
      logger: options.logger('leadership'),
      ownCores: options.ownCores,
      mostCores: () => this.mostCores(),
      onAcquired: epoch => {
        this.startLeader(epoch);
      },
      onLost: () => {
        this.leader?.close();
        this.leader = undefined;
      },
      onLeaderChange: leader => {
        this.watchStreams.broadcast({ leader });
      },
    });
    this.watchStreams = new WatchStreams(() => this.initialMessage());
    this.gateway = new JobGateway({
      time: options.time,
      logger: options.logger('gateway'),
      localLeader,
      leaderRecord: () => this.leadership.record,
    });
    this.internalServer = createInternalServer({
      time: options.time,
      logger: options.logger('internal-server'),
      incarnation: this.incarnation,
      localLeader,
      leaderRecord: () => this.leadership.record,
      watchStreams: this.watchStreams,
    });
    this.configuration.onChange(configuration => {
      this.watchStreams.broadcast({ configuration });
      this.leader?.configure(configuration);
    });
  }

  /** Starts serving other processes and monitoring the leader. */
  public async start(): Promise<void> {
    await listenOn(this.internalServer, this.options.internalAddress);
    setInterval(() => {
      this.watchStreams.broadcast({ mostCores: this.mostCores() });
    }, WATCH_HEARTBEAT_INTERVAL_MILLISECONDS);
    void this.leadership.run();
    void this.createMonitor().run();
  }

  /** Returns the state of this process, for its metrics. */
  public statistics(): EntryStatistics {
    return {
      leads: this.leadership.isValid(),
      configurationVersion: this.configuration.current?.version ?? 0,
      ...(this.leader?.statistics() ?? NO_LEADER_STATISTICS),
    };
  }

  /** Resigns the leadership if this entry holds it. */
  public async resign(): Promise<void> {
    await this.leadership.resign();
  }

  private createMonitor(): LeaderMonitor {
    return new LeaderMonitor({
      logger: this.options.logger('watch'),
      ownAddress: this.options.internalAddress,
      ownIncarnation: this.incarnation,
      ownCores: this.options.ownCores,
      leaderRecord: () => this.leadership.record,
      otherEntries: () => this.options.configuredEntries(),
      onMessage: message => {
        this.handleMessage(message);
      },
      onDeparted: incarnation => {
        this.leadership.recordTermination(incarnation);
      },
    });
  }

  /**
   * Returns the most processor time that another entry can use: for a leader,
   * one that is connected to it.
   */
  private mostCores(): number {
    return this.leader === undefined
      ? this.reportedMostCores
      : this.watchStreams.mostCores();
  }

  private handleMessage(message: WatchMessage): void {
    const { leader, configuration, mostCores } = message;
    this.reportedMostCores = mostCores ?? this.reportedMostCores;
    if (leader !== undefined) {
      this.leadership.observeLeader(leader);
    }
    if (configuration !== undefined) {
      this.configuration.offer(configuration);
    }
  }

  private initialMessage(): WatchMessage {
    const { record } = this.leadership;
    const { current } = this.configuration;
    return {
      ...(record === undefined ? {} : { leader: record }),
      ...(current === undefined ? {} : { configuration: current }),
    };
  }

  private startLeader(epoch: number): void {
    const leader = new Leader({
      epoch,
      store: this.options.store,
      storeLimits: this.options.storeLimits,
      time: this.options.time,
      logger: this.options.logger('leader'),
      leaseMilliseconds: this.options.leaseMilliseconds,
      minionLimits: this.options.minionLimits,
      processorCores: this.options.ownCores,
      isValid: () => this.leadership.isValid(),
      onFenced: () => {
        this.leadership.relinquish('a later leader writes');
      },
      observe: this.options.observe,
      entries: () => [
        this.options.internalAddress,
        ...this.watchStreams.addresses(),
      ],
    });
    this.leader = leader;
    const { current } = this.configuration;
    if (current !== undefined) {
      leader.configure(current);
    }
    void leader.open();
  }
}
