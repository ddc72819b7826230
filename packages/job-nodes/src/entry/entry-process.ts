import { randomUUID } from 'node:crypto';
import type { Server } from 'node:http';

import { listenOn } from '@basilcourse/foundation/net/listen-on';

import { ConfigurationHolder } from '../configuration/configuration-holder.js';
import { Leader } from '../leader/leader.js';
import { Leadership } from '../leadership/leadership.js';
import type { EntryFigures } from './entry-figures.js';
import type { EntryOptions } from './entry-options.js';
import { createInternalServer } from './internal-server.js';
import { JobGateway } from './job-gateway.js';
import { LeaderWatch } from './leader-watch.js';
import type { WatchMessage } from './watch-message.js';
import { WatchStreams } from './watch-streams.js';

/** Figures of a leader where there is none. */
const NOT_LEADING = {
  agents: 0,
  jobs: 0,
  waitingJobs: 0,
  pendingAppendMilliseconds: 0,
};

const WATCH_BEAT_MILLISECONDS = 500;

/** The process that callers reach; one of all entries leads. */
export class EntryProcess {
  public readonly configuration = new ConfigurationHolder();

  public readonly gateway: JobGateway;

  public readonly leadership: Leadership;

  private readonly options: EntryOptions;

  private readonly life = randomUUID();

  private readonly watches: WatchStreams;

  private readonly internalServer: Server;

  private leader: Leader | undefined;

  public constructor(options: EntryOptions) {
    this.options = options;
    const localLeader = (): Leader | undefined => this.leader;
    this.leadership = new Leadership({
      name: options.name,
      incarnation: this.life,
      address: options.internalAddress,
      log: options.leadershipLog,
      time: options.time,
      logger: options.logger('leadership'),
      onAcquired: epoch => {
        this.lead(epoch);
      },
      onLost: () => {
        this.leader?.close();
        this.leader = undefined;
      },
      onLeaderChange: leader => {
        this.watches.tell({ leader });
      },
    });
    this.watches = new WatchStreams(() => this.greeting());
    this.gateway = new JobGateway({
      time: options.time,
      logger: options.logger('gateway'),
      localLeader,
      leaderRecord: () => this.leadership.record,
    });
    this.internalServer = createInternalServer({
      time: options.time,
      logger: options.logger('internal-server'),
      life: this.life,
      localLeader,
      leaderRecord: () => this.leadership.record,
      watches: this.watches,
    });
    this.configuration.onChange(configuration => {
      this.watches.tell({ configuration });
      this.leader?.configure(configuration);
    });
  }

  /** Starts serving other processes and following who leads. */
  public async start(): Promise<void> {
    await listenOn(this.internalServer, this.options.internalAddress);
    setInterval(() => {
      this.watches.tell({});
    }, WATCH_BEAT_MILLISECONDS);
    void this.leadership.run();
    void this.createWatch().run();
  }

  /** What this process believes, for its metrics. */
  public figures(): EntryFigures {
    return {
      leads: this.leadership.isValid(),
      configurationVersion: this.configuration.current?.version ?? 0,
      ...(this.leader?.statistics() ?? NOT_LEADING),
    };
  }

  /** Gives up the lead, if it is here. */
  public async resign(): Promise<void> {
    await this.leadership.resign();
  }

  private createWatch(): LeaderWatch {
    return new LeaderWatch({
      logger: this.options.logger('watch'),
      ownAddress: this.options.internalAddress,
      ownLife: this.life,
      leaderRecord: () => this.leadership.record,
      otherEntries: () => this.options.knownEntries(),
      onMessage: message => {
        this.takeMessage(message);
      },
      onGone: life => {
        this.leadership.recordTermination(life);
      },
    });
  }

  private takeMessage({ leader, configuration }: WatchMessage): void {
    if (leader !== undefined) {
      this.leadership.observeLeader(leader);
    }
    if (configuration !== undefined) {
      this.configuration.offer(configuration);
    }
  }

  private greeting(): WatchMessage {
    const { record } = this.leadership;
    const { current } = this.configuration;
    return {
      ...(record === undefined ? {} : { leader: record }),
      ...(current === undefined ? {} : { configuration: current }),
    };
  }

  private lead(epoch: number): void {
    const leader = new Leader({
      epoch,
      store: this.options.store,
      time: this.options.time,
      logger: this.options.logger('leader'),
      leaseMilliseconds: this.options.leaseMilliseconds,
      isValid: () => this.leadership.isValid(),
      onFenced: () => {
        this.leadership.relinquish('a later leader writes');
      },
      observe: this.options.observe,
      entries: () => [
        this.options.internalAddress,
        ...this.watches.addresses(),
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
