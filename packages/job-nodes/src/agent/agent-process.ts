import type { AgentOptions } from './agent-options.js';
import { ImageMemory } from './image-memory.js';
import { LeaderConnection } from './leader-connection.js';
import { MinionDriver } from './minion-driver.js';

/** The process on a minion's VM that carries out the leader's orders. */
export class AgentProcess {
  public readonly driver: MinionDriver;

  private readonly leaderConnection: LeaderConnection;

  public constructor(options: AgentOptions) {
    const imageStatistics = new ImageMemory();
    this.leaderConnection = new LeaderConnection({
      agent: options.name,
      time: options.time,
      logger: options.logger('leader-link'),
      configuredEntries: options.configuredEntries,
      findLeader: options.findLeader,
      onMessage: message => {
        if (message.kind === 'welcome') {
          const sentAt = options.time.steady();
          this.leaderConnection.send({
            kind: 'images',
            sentAt,
            images: imageStatistics.statistics(),
          });
        }
        this.driver.handleMessage(message);
      },
    });
    this.driver = new MinionDriver({
      imageStatistics,
      client: options.client,
      time: options.time,
      minionLimits: options.minionLimits,
      logger: options.logger('minion-driver'),
      onFenced: () => {
        this.leaderConnection.disconnect('the minion accepted a later leader');
      },
      onTokenNeeded: () => {
        this.leaderConnection.reconnect('the next minion needs a later token');
      },
      report: report => {
        const sentAt = options.time.steady();
        this.leaderConnection.send({ kind: 'report', sentAt, report });
      },
    });
  }

  /** Whether a stream to the leader is open. */
  public get connected(): boolean {
    return this.leaderConnection.connected;
  }

  /** Connects to the leader and starts polling the minion. */
  public start(): void {
    void this.leaderConnection.run();
    void this.driver.run();
  }
}
