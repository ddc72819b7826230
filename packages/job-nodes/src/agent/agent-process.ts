import type { AgentOptions } from './agent-options.js';
import { ImageMemory } from './image-memory.js';
import { LeaderLink } from './leader-link.js';
import { MinionDriver } from './minion-driver.js';

/** The process that runs beside a minion and executes the leader's orders. */
export class AgentProcess {
  public readonly driver: MinionDriver;

  private readonly link: LeaderLink;

  public constructor(options: AgentOptions) {
    const imageStatistics = new ImageMemory();
    this.link = new LeaderLink({
      agent: options.name,
      time: options.time,
      logger: options.logger('leader-link'),
      configuredEntries: options.configuredEntries,
      findLeader: options.findLeader,
      onMessage: message => {
        if (message.kind === 'welcome') {
          const sentAt = options.time.steady();
          this.link.send({
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
      logger: options.logger('minion-driver'),
      onFenced: () => {
        this.link.disconnect('the minion accepted a later leader');
      },
      report: report => {
        const sentAt = options.time.steady();
        this.link.send({ kind: 'report', sentAt, report });
      },
    });
  }

  /** Whether a stream to the leader is open. */
  public get connected(): boolean {
    return this.link.connected;
  }

  /** Starts following the leader and driving the minion. */
  public start(): void {
    void this.link.run();
    void this.driver.run();
  }
}
