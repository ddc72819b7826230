/** A path between an agent and its minion, whose calls can be held, lost or late. */
import { Agent, createServer, request as sendRequest } from 'node:http';

import { pause } from '../../review/deployment.mjs';

/**
 * What becomes of a call that arrives now: it is carried out and answered; it is
 * carried out and its answer is lost; it is lost; it waits until the path is
 * released, and is then carried out, without an answer if its caller has gone.
 */
export const FATES = {
  answered: 'answered',
  unanswered: 'unanswered',
  lost: 'lost',
  held: 'held',
};

export class MinionPath {
  constructor(minionAddress) {
    this.minionAddress = minionAddress;
    this.connections = new Agent({ keepAlive: true });
    this.heldCalls = [];
    /** Number of answers that the agent got. */
    this.answers = 0;
    this.open();
    this.server = createServer((request, response) => {
      this.accept(request, response).catch(() => undefined);
    });
    this.server.keepAliveTimeout = 0;
  }

  async listen(host) {
    await new Promise(resolve => {
      this.server.listen(0, host, resolve);
    });
    return `${host}:${this.server.address().port}`;
  }

  /** Carries all calls out, and answers them. */
  open() {
    this.fateOf = () => FATES.answered;
    this.answersPass = true;
  }

  /** Loses all calls, and all answers that are on their way; resets nothing. */
  cut() {
    this.fateOf = () => FATES.lost;
    this.answersPass = false;
  }

  /** Carries out what was held, by whichever life of the minion is there. */
  release() {
    for (const { call, response } of this.heldCalls.splice(0)) {
      this.carryOut(call, response).catch(() => undefined);
    }
  }

  async accept(request, response) {
    const chunks = [];
    for await (const chunk of request) {
      chunks.push(chunk);
    }
    const body = Buffer.concat(chunks);
    const call = { url: request.url, headers: request.headers, body };
    const fate = this.fateOf(call);
    if (typeof fate === 'number') {
      await pause(fate);
      await this.carryOut(call);
    } else if (fate === FATES.held) {
      this.heldCalls.push({ call, response });
    } else if (fate !== FATES.lost) {
      await this.carryOut(call, fate === FATES.answered ? response : undefined);
    }
  }

  /** Carries a call out; without a response, its answer is lost. */
  async carryOut({ url, headers, body }, response) {
    const [host, port] = this.minionAddress.split(':');
    const answer = await new Promise((resolve, reject) => {
      const agent = this.connections;
      const options = { host, port, path: url, method: 'POST', headers, agent };
      const outgoing = sendRequest(options, incoming => {
        const chunks = [];
        incoming.on('data', chunk => chunks.push(chunk));
        incoming.on('error', reject);
        incoming.on('end', () => {
          resolve({ status: incoming.statusCode, text: Buffer.concat(chunks) });
        });
      });
      outgoing.on('error', reject);
      outgoing.end(body);
    });
    if (response !== undefined && !response.destroyed && this.answersPass) {
      response.writeHead(answer.status, {
        'content-type': 'application/json',
        'content-length': answer.text.length,
      });
      response.end(answer.text);
      this.answers += 1;
    }
  }
}
