import { Agent } from 'node:http';

import t from 'tap';

import type { LoadResult } from '../../src/load/load-result.js';
import { sendRequest } from '../../src/load/send-request.js';
import { checkGuarantees } from '../support/check-guarantees.js';
import { servingDeployment } from '../support/serving-deployment.js';

const agent = new Agent({ keepAlive: true });

t.teardown(() => {
  agent.destroy();
});

function sendCertificate(address: string, key: string): Promise<LoadResult> {
  return sendRequest({
    address,
    path: '/labels/certificates',
    body: `certificate ${key}`,
    headers: { 'basilcourse-unrepeatable': 'true', 'idempotency-key': key },
    timeoutMilliseconds: 4000,
    agent,
  });
}

t.test(
  'a repeat through another entry gets the first response and is not run',
  async t => {
    const deployment = await servingDeployment(50);
    const [firstAddress, secondAddress] = deployment.entries.map(
      entry => entry.callersAddress,
    );
    for (let number = 0; number < 20; number += 1) {
      const first = await sendCertificate(firstAddress ?? '', `key-${number}`);
      const repeat = await sendCertificate(
        secondAddress ?? '',
        `key-${number}`,
      );
      t.equal(first.outcome, 'completed');
      t.equal(repeat.outcome, 'completed');
    }
    t.equal(deployment.requestRecorder.runs, 20);
    checkGuarantees(t, deployment, []);
    await deployment.kill();
  },
);

t.test(
  'simultaneous requests with one key through both entries run once',
  async t => {
    const deployment = await servingDeployment(51);
    const addresses = deployment.entries.map(entry => entry.callersAddress);
    for (let number = 0; number < 20; number += 1) {
      const key = `key-${number}`;
      await Promise.all(
        [0, 1, 0, 1].map(index => sendCertificate(addresses[index] ?? '', key)),
      );
    }
    t.ok(deployment.requestRecorder.runs <= 20);
    checkGuarantees(t, deployment, []);
    await deployment.kill();
  },
);

t.test(
  'a repeat after the first entry was killed is not run again',
  async t => {
    const deployment = await servingDeployment(52, 3);
    const [first, second] = deployment.entries;
    for (let number = 0; number < 10; number += 1) {
      t.equal(
        (await sendCertificate(first?.callersAddress ?? '', `key-${number}`))
          .outcome,
        'completed',
      );
    }
    if (first !== undefined) {
      await deployment.killEntry(first);
    }
    for (let number = 0; number < 10; number += 1) {
      const repeat = await sendCertificate(
        second?.callersAddress ?? '',
        `key-${number}`,
      );
      t.equal(repeat.outcome, 'completed');
    }
    t.equal(deployment.requestRecorder.runs, 10);
    await deployment.kill();
  },
);

t.test(
  'a repeat after the agents that owned the keys were killed is not run again',
  async t => {
    const deployment = await servingDeployment(53);
    const [firstAddress, secondAddress] = deployment.entries.map(
      entry => entry.callersAddress,
    );
    for (let number = 0; number < 12; number += 1) {
      await sendCertificate(firstAddress ?? '', `key-${number}`);
    }
    const { runs } = deployment.requestRecorder;
    for (let index = 0; index < deployment.vms.length; index += 1) {
      await deployment.replaceAgent(index, false);
    }
    const outcomes = new Set<string>();
    for (let number = 0; number < 12; number += 1) {
      outcomes.add(
        (await sendCertificate(secondAddress ?? '', `key-${number}`)).outcome,
      );
    }
    t.equal(deployment.requestRecorder.runs, runs, 'no request ran again');
    t.notOk(outcomes.has('broken'));
    checkGuarantees(t, deployment, []);
    await deployment.kill();
  },
);
