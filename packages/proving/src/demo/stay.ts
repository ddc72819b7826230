import { createInterface } from 'node:readline';

import type { Deployment } from '../deployment/deployment.js';

/** Commands that the demo accepts on standard input with `--stay`. */
const HELP =
  'kill agent N | replace agent N | kill vm N | log down | log up | end';

type CommandHandler = (
  deployment: Deployment,
  number: number,
) => Promise<void> | void;

const handlers: Readonly<Partial<Record<string, CommandHandler>>> = {
  'kill agent': async (deployment, number) => {
    await deployment.vms[number - 1]?.agent?.kill();
  },
  'replace agent': (deployment, number) =>
    deployment.replaceAgent(number - 1, false),
  'kill vm': (deployment, number) => deployment.killVm(number - 1),
  'log down': deployment => {
    deployment.log.setFaults({ down: true });
  },
  'log up': deployment => {
    deployment.log.setFaults({ down: false });
  },
};

/**
 * Keeps the demo's deployment running for the command-line tool and injects
 * faults by commands on standard input, until `end`.
 */
export async function stay(
  deployment: Deployment,
  print: (line: string) => void,
): Promise<void> {
  const operators = deployment.entries.map(
    ({ core }) => core.own.get().operatorsAddress,
  );
  const callers = deployment.entries.map(entry => entry.callersAddress);
  print(`export BASILCOURSE_ENTRIES=${operators.join(',')}`);
  print(`callers: http://${callers[0] ?? ''}/labels/`);
  print(HELP);
  for await (const line of createInterface({ input: process.stdin })) {
    const [verb = '', object = '', number = '0'] = line.trim().split(' ');
    if (verb === 'end') {
      return;
    }
    const handler = handlers[`${verb} ${object}`];
    if (handler === undefined) {
      print(HELP);
    } else {
      await handler(deployment, Number(number));
      print('done');
    }
  }
}
