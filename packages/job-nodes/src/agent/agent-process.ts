import type { AgentOptions } from './agent-options.js';
import { ImageMemory } from './image-memory.js';
import { LeaderLink } from './leader-link.js';
import { MinionDriver } from './minion-driver.js';

/** The process beside a minion. */
export class AgentProcess {
  public readonly driver: MinionDriver;

  private readonly link: LeaderLink;

  public constructor(options: AgentOptions) {
    const images = new ImageMemory();
    this.link = new LeaderLink({
      agent: options.name,
      time: options.time,
      logger: options.logger('leader-link'),
      knownEntries: options.knownEntries,
      findLeader: options.findLeader,
      onMessage: message => {
        if (message.kind === 'welcome') {
          const sentAt = options.time.steady();
          this.link.tell({
            kind: 'images',
            sentAt,
            images: images.knowledge(),
          });
        }
        this.driver.take(message);
      },
    });
    this.driver = new MinionDriver({
      images,
      client: options.client,
      time: options.time,
      logger: options.logger('minion-driver'),
      onFenced: () => {
        this.link.leave('the minion obeys a later leader');
      },
      report: report => {
        const sentAt = options.time.steady();
        this.link.tell({ kind: 'report', sentAt, report });
      },
    });
  }

  /** A stream to the leader is open. */
  public get connected(): boolean {
    return this.link.connected;
  }

  /** Starts following the leader and driving the minion. */
  public start(): void {
    void this.link.run();
    void this.driver.run();
  }
}
