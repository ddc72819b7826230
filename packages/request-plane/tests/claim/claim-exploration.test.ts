import fc from 'fast-check';
import t from 'tap';

import { ClaimSimulation } from './model/claim-simulation.js';
import type { MessageFate } from './model/message-scheduler.js';
import type { ModelEntry } from './model/model-entry.js';

const SEED = 20_261_204;

const RUNS = 2000;

const KEYS = 2;

type Operation =
  | {
      readonly kind: 'send';
      readonly entry: number;
      readonly key: number;
      readonly isRun: boolean;
    }
  | { readonly kind: 'add-entry'; readonly unread: number }
  | { readonly kind: 'kill-entry'; readonly entry: number }
  | { readonly kind: 'catch-up'; readonly entry: number }
  | { readonly kind: 'gossip'; readonly entry: number }
  | { readonly kind: 'restart-agent'; readonly minion: number }
  | { readonly kind: 'lose-minion'; readonly minion: number }
  | { readonly kind: 'recover-minion'; readonly minion: number }
  | { readonly kind: 'replace-minion'; readonly minion: number };

const smallIndex = fc.nat(5);

const operationArbitrary = fc.oneof(
  {
    weight: 8,
    arbitrary: fc.record({
      kind: fc.constant('send' as const),
      entry: smallIndex,
      key: fc.nat(KEYS - 1),
      isRun: fc.boolean(),
    }),
  },
  fc.record({ kind: fc.constant('add-entry' as const), unread: smallIndex }),
  fc.record({ kind: fc.constant('kill-entry' as const), entry: smallIndex }),
  fc.record({ kind: fc.constant('catch-up' as const), entry: smallIndex }),
  fc.record({ kind: fc.constant('gossip' as const), entry: smallIndex }),
  fc.record({
    kind: fc.constant('restart-agent' as const),
    minion: smallIndex,
  }),
  fc.record({ kind: fc.constant('lose-minion' as const), minion: smallIndex }),
  fc.record({
    kind: fc.constant('recover-minion' as const),
    minion: smallIndex,
  }),
  fc.record({
    kind: fc.constant('replace-minion' as const),
    minion: smallIndex,
  }),
);

const fatesArbitrary = fc.array(
  fc.oneof(
    { weight: 8, arbitrary: fc.constant('delivered' as const) },
    { weight: 1, arbitrary: fc.constant('lost' as const) },
    { weight: 1, arbitrary: fc.constant('answer-lost' as const) },
  ),
  { minLength: 1, maxLength: 30 },
);

function withEntry(
  simulation: ClaimSimulation,
  index: number,
  action: (entry: ModelEntry) => void,
): void {
  const entry =
    simulation.entries[index % Math.max(1, simulation.entries.length)];
  if (entry !== undefined) {
    action(entry);
  }
}

async function perform(
  simulation: ClaimSimulation,
  operation: Operation,
  operationIndex: number,
): Promise<void> {
  switch (operation.kind) {
    case 'send': {
      const { entries } = simulation;
      const entry = entries[operation.entry % Math.max(1, entries.length)];
      if (entry !== undefined) {
        const key = `key-${operation.key}`;
        await simulation.send(
          entry,
          key,
          `request-${operationIndex}`,
          operation.isRun,
        );
      }
      return;
    }
    case 'add-entry':
      simulation.addEntry(operation.unread);
      return;
    case 'kill-entry':
      withEntry(simulation, operation.entry, entry => {
        simulation.kill(entry);
      });
      return;
    case 'catch-up':
      withEntry(simulation, operation.entry, entry => {
        simulation.catchUp(entry);
      });
      return;
    case 'gossip':
      withEntry(simulation, operation.entry, entry => {
        simulation.gossip(entry);
      });
      return;
    case 'restart-agent':
      simulation.restartAgent(operation.minion);
      return;
    case 'lose-minion':
      simulation.log.loseMinion(operation.minion);
      return;
    case 'recover-minion':
      simulation.log.recoverMinion(operation.minion);
      return;
    case 'replace-minion':
      simulation.log.replaceMinion(operation.minion);
  }
}

t.test(
  'no key runs twice in any order of messages, losses and changes',
  async t => {
    let runs = 0;
    await fc.assert(
      fc.asyncProperty(
        fc.scheduler(),
        fc.array(operationArbitrary, { minLength: 4, maxLength: 14 }),
        fatesArbitrary,
        async (scheduler, steps, fates) => {
          let messageIndex = 0;
          const simulation = new ClaimSimulation({
            yieldControl: () => scheduler.schedule(Promise.resolve()),
            nextFate: (): MessageFate => {
              messageIndex += 1;
              return fates[messageIndex % fates.length] ?? 'delivered';
            },
          });
          simulation.addEntry(0);
          simulation.addEntry(0);
          const work = steps.map(async (step, number) => {
            await scheduler.schedule(Promise.resolve(), step.kind);
            await perform(simulation, step, number);
          });
          await scheduler.waitFor(Promise.all(work));
          const keysRunTwice = [...simulation.runs].filter(
            ([, list]) => list.length > 1,
          );
          runs += simulation.runs.size;
          return keysRunTwice.length === 0;
        },
      ),
      { seed: SEED, numRuns: RUNS },
    );
    t.ok(runs > RUNS / 4, `${runs} keys ran once`);
  },
);
