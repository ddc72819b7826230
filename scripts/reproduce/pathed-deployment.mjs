/** The deployment of `review/`, with a path that can be disturbed to each minion. */
import { Deployment, pause } from '../../review/deployment.mjs';
import { Minion } from '../../review/minion.mjs';
import { MinionPath } from './minion-path.mjs';

const SERVICE = 'ledger';

const LONGEST_LEASE_MILLISECONDS = 10_000;

/** A minion that tells its start in its lists only, as the protocol page has it. */
class PlainMinion extends Minion {
  send(response, status, body) {
    const born = body.running === undefined ? {} : { born: this.born };
    const answer = { clock_ms: this.clock(), ...born, ...body };
    const text = JSON.stringify(answer);
    response.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
    });
    response.end(text);
  }

  /** Reports when the lease is over, which also ends what is to be noted. */
  tick() {
    const isOver = this.clock() > this.leaseUntil;
    if (isOver && !this.leaseIsOver) {
      this.report('lease-over', '', 0, {});
    }
    this.leaseIsOver = isOver;
    super.tick();
  }

  stopHeartbeats() {
    clearInterval(this.beats);
  }

  /** Starts again under its identifier; its agent's connections stay open. */
  async startAgain(darkMilliseconds) {
    this.stopHeartbeats();
    this.crash();
    const { fateOf } = this.path;
    if (darkMilliseconds > 0) {
      this.path.fateOf = call => {
        const fate = fateOf(call);
        return fate === 'held' ? fate : 'lost';
      };
      await pause(darkMilliseconds);
      this.path.fateOf = fateOf;
    }
    this.beginLife(this.identifier);
  }
}

export class PathedDeployment extends Deployment {
  async startSide(number, host) {
    const name = `side-${number}`;
    const minion = new PlainMinion(
      {
        name: `i-${number}`,
        service: SERVICE,
        zone: 'zone-1',
        labels: ['a', 'r1-1'],
        capacity: this.options.capacity,
        maximumLeaseMilliseconds: LONGEST_LEASE_MILLISECONDS,
        checkpointMilliseconds: 1000,
        gangs: this.gangs,
        gangTimeoutMilliseconds: 3000,
        heartbeatAddress: `${host}:${this.ports.control}`,
      },
      event => {
        this.recordEvent(event);
      },
    );
    minion.path = new MinionPath(await minion.listen(host));
    const app = await minion.path.listen(host);
    this.minions.push(minion);
    const settings = this.settingsOf(name, 'agent', host, {
      machineClass: 'side',
      fields: { app, service: SERVICE },
    });
    this.spawn('agent', name, settings);
    minion.startHeartbeats();
  }
}
