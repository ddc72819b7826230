import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { Agent } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { systemClock } from '@basilcourse/foundation/clock/system-clock';
import { callJson } from '@basilcourse/foundation/http/call-json';
import { seededRandom } from '@basilcourse/foundation/random/seeded-random';
import { createLogServer } from '@basilcourse/platform-stand-in/log/log-server';
import { LogStandIn } from '@basilcourse/platform-stand-in/log/log-stand-in';
import { RequestRecorder } from '@basilcourse/platform-stand-in/upstream/request-recorder';
import { ExecutionRecorder } from '@basilcourse/platform-stand-in/worker/execution-recorder';
import { seededBehaviour } from '@basilcourse/platform-stand-in/worker/seeded-behaviour';
import { createWorkerServer } from '@basilcourse/platform-stand-in/worker/worker-server';
import { WorkerStandIn } from '@basilcourse/platform-stand-in/worker/worker-stand-in';
import t from 'tap';

import { demoNote } from '../../src/demo/demo-note.js';
import { freePort } from '../../src/deployment/free-port.js';
import { UpstreamHost } from '../../src/deployment/upstream-host.js';
import { waitUntil } from '../../src/deployment/wait-until.js';
import { sendRequest } from '../../src/load/send-request.js';
import type { ToolResult } from '../support/processes.js';
import { runTool, startDaemon } from '../support/processes.js';

const WAIT_TIMEOUT_MILLISECONDS = 60_000;

function settingsText(
  role: 'entry' | 'agent',
  name: string,
  ports: readonly number[],
  log: string,
  entries: string,
  worker: string,
): string {
  const [control = 0, operators = 0, callers = 0, local = 0] = ports;
  const workerSection = `[worker]
name = worker-1
address = ${worker}
processors = 16
memory-gigabytes = 62
`;
  return `[process]
name = ${name}
role = ${role}
region = dalmatia
availability-zone = dalmatia-1
[addresses]
control = 127.0.0.1:${control}
operators = 127.0.0.1:${operators}
callers = 127.0.0.1:${callers}
local = 127.0.0.1:${local}
log = ${log}
entries = ${entries}
[security]
key = the key of the test
[behaviour]
log-level = error
${role === 'agent' ? workerSection : ''}`;
}

t.test('separate processes serve, are killed and stop gracefully', async t => {
  const folder = await mkdtemp(join(tmpdir(), 'basilcourse-'));
  const random = seededRandom(1);
  const logServer = createLogServer(new LogStandIn(systemClock, random));
  const log = await logServer.listen('127.0.0.1:0');
  const ports = await Promise.all(Array.from({ length: 12 }, () => freePort()));
  const [entryPorts, otherPorts, agentPorts] = [0, 4, 8].map(from =>
    ports.slice(from, from + 4),
  );
  const executionRecorder = new ExecutionRecorder();
  const requestRecorder = new RequestRecorder();
  const host = new UpstreamHost({
    requestRecorder,
    random,
    behaviourOf: () => ({
      serviceMilliseconds: () => 5,
      slowdownFactor: () => 1,
      failedResponseShare: 0,
      truncatedResponseShare: 0,
    }),
    agentAddress: () => `127.0.0.1:${agentPorts?.[3] ?? 0}`,
    onDrained: attempt => {
      worker.runner.completeStop(attempt);
    },
  });
  const worker = new WorkerStandIn({
    description: {
      worker: 'worker-1',
      address: '',
      region: 'dalmatia',
      availabilityZone: 'dalmatia-1',
      rack: 'none',
      resources: { processors: 16, memoryGigabytes: 62, accelerators: 0 },
    },
    clock: systemClock,
    random,
    recorder: executionRecorder,
    behaviour: seededBehaviour(1),
    hooks: host,
  });
  const workerServer = createWorkerServer(worker);
  const workerAddress = await workerServer.listen('127.0.0.1:0');
  const entries = `127.0.0.1:${entryPorts?.[0] ?? 0}, 127.0.0.1:${otherPorts?.[0] ?? 0}`;
  const writeSettings = async (
    role: 'entry' | 'agent',
    name: string,
    nodePorts: readonly number[] | undefined,
  ): Promise<string> => {
    const file = join(folder, `${name}.ini`);
    await writeFile(
      file,
      settingsText(role, name, nodePorts ?? [], log, entries, workerAddress),
    );
    return file;
  };
  const files = {
    firstEntry: await writeSettings('entry', 'entry-1', entryPorts),
    secondEntry: await writeSettings('entry', 'entry-2', otherPorts),
    agent: await writeSettings('agent', 'agent-1', agentPorts),
  };
  const firstEntry = startDaemon(files.firstEntry);
  const secondEntry = startDaemon(files.secondEntry);
  const agent = startDaemon(files.agent);
  const operators = `127.0.0.1:${entryPorts?.[1] ?? 0},127.0.0.1:${otherPorts?.[1] ?? 0}`;

  const noteFile = join(folder, 'note.ini');
  await writeFile(noteFile, demoNote(2).replace('minions = 4', 'minions = 1'));
  let published: ToolResult = { code: -1, output: '' };
  for (let round = 0; round < 40 && published.code !== 0; round += 1) {
    await new Promise(resolve => setTimeout(resolve, 500));
    published = await runTool([
      'release-note',
      'publish',
      noteFile,
      '--entries',
      operators,
      '--id',
      'note-of-the-test',
    ]);
  }
  t.equal(published.code, 0, published.output);

  const callers = [entryPorts, otherPorts].map(
    nodePorts => `127.0.0.1:${nodePorts?.[2] ?? 0}`,
  );
  const httpAgent = new Agent({ keepAlive: true });
  const send = async (
    address: string | undefined,
    key: string,
  ): Promise<string> => {
    const result = await sendRequest({
      address: address ?? '',
      path: '/labels/print',
      body: `label ${key}`,
      headers: { 'basilcourse-unrepeatable': 'true', 'idempotency-key': key },
      timeoutMilliseconds: 2000,
      agent: httpAgent,
    });
    return result.outcome;
  };
  const sendUntilCompleted = async (
    address: string | undefined,
    key: string,
  ): Promise<string> => {
    let outcome = '';
    for (let round = 0; round < 60 && outcome !== 'completed'; round += 1) {
      outcome = await send(address, key);
      await new Promise(resolve => setTimeout(resolve, 200));
    }
    return outcome;
  };
  t.equal(await sendUntilCompleted(callers[0], 'first'), 'completed');
  t.equal(await sendUntilCompleted(callers[1], 'second'), 'completed');

  firstEntry.process.kill('SIGKILL');
  await firstEntry.exited;
  t.equal(
    await send(callers[1], 'second'),
    'completed',
    'the repeated request gets the stored response',
  );
  const status = await runTool(['status', '--entries', operators, '--json']);
  t.equal(status.code, 0, status.output);
  t.match(status.output, /entry-2/);
  const timeline = await runTool([
    'timeline',
    '--entries',
    operators,
    '--kind',
    'request-ended',
  ]);
  t.match(timeline.output, /completed after/);
  const explained = await runTool([
    'explain',
    'service',
    'labels',
    '--entries',
    operators,
  ]);
  t.equal(explained.code, 0, explained.output);
  t.match(explained.output, /place/);
  t.equal(
    (await runTool(['explain', 'nonsense', 'x', '--entries', operators])).code,
    2,
  );
  t.equal((await runTool(['release-note', 'check', files.firstEntry])).code, 1);

  const finished = await waitUntil(
    () => executionRecorder.finished === 2,
    WAIT_TIMEOUT_MILLISECONDS,
  );
  t.ok(finished, 'the batch jobs finish');
  secondEntry.process.kill('SIGTERM');
  t.equal(await secondEntry.exited, 0, 'the entry stops gracefully');
  agent.process.kill('SIGTERM');
  t.equal(await agent.exited, 0, 'the agent stops gracefully');
  t.equal(requestRecorder.duplicateRuns, 0);
  t.same(executionRecorder.violations, []);
  const unreachable = await runTool(['status', '--entries', operators]);
  t.equal(unreachable.code, 1);
  t.match(unreachable.output, /operator\.status \(peer/);
  const faults = await callJson({
    step: 'test',
    address: log,
    method: 'POST',
    path: '/faults',
    body: {},
    timeoutMilliseconds: 1000,
  });
  t.same(faults, {});

  httpAgent.destroy();
  await host.killAll();
  await workerServer.close();
  await logServer.close();
  await rm(folder, { recursive: true });
});
