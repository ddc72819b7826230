/**
 * Configurations come in quick succession while the store turns the entries away.
 * Checks that the newest one is in force at every entry afterwards.
 */
import { fileURLToPath } from 'node:url';

import { BROKEN, Deployment, HELD, pause } from '../deployment.mjs';

const TROUBLE = process.env.TROUBLE !== '0';

/** The storm of a standard day: a change each 0.08 s for 2 s. */
const CHANGES = 25;

const GAP_MILLISECONDS = 80;

/** Each configuration has about 50 KB; a record may have 262 KB. */
const OTHER_ROUTES = 240;

/** The site file turns machines away for up to 9 s. */
const TURNED_AWAY_MILLISECONDS = 4500;

/** `contact_ms` and `configuration_ms` of the sheet, and a second more. */
const SETTLED_MILLISECONDS = 8000;

const CHECKS = 10;

const deployment = new Deployment({
  record: fileURLToPath(new URL('record.txt', import.meta.url)),
  entries: 3,
  agents: 6,
  capacity: { cpu: 64_000, task_memory_mb: 250_000, gpus: 0 },
  seconds: 80,
});

function routesWith(name, prefix) {
  const others = Array.from({ length: OTHER_ROUTES }, (_, number) =>
    deployment.route(`idle-${number}`, `/idle-${number}/`),
  );
  return [
    deployment.route('ledger', '/jobs/'),
    deployment.route(name, prefix),
    ...others,
  ];
}

await deployment.start();
deployment.configure(5, routesWith('earlier', '/earlier/'));
await pause(5000);
if (TROUBLE) {
  deployment.note('store: turns the machines of the system away');
  deployment.store.turnsAway = true;
}
const endsAt = performance.now() + TURNED_AWAY_MILLISECONDS;
await pause(500);
for (let change = 1; change <= CHANGES; change += 1) {
  const last = change === CHANGES;
  deployment.configure(
    5 + 2 * change,
    last ? routesWith('added', '/added/') : routesWith('earlier', '/earlier/'),
  );
  await pause(GAP_MILLISECONDS);
}
await pause(Math.max(0, endsAt - performance.now()));
deployment.store.turnsAway = false;
deployment.note('store: serves all machines');
await pause(SETTLED_MILLISECONDS);
let wrong = 0;
for (let check = 0; check < CHECKS; check += 1) {
  for (const number of [0, 1, 2]) {
    const added = await deployment.callEntry(number, 'GET', '', undefined, {
      prefix: '/added/',
    });
    const dropped = await deployment.callEntry(number, 'GET', '', undefined, {
      prefix: '/earlier/',
    });
    wrong += Number(added.status === 404) + Number(dropped.status === 200);
  }
  await pause(1000);
}
deployment.note(
  `requests handled as only an older version allows, long after the newest: ${wrong}`,
);
deployment.finish(wrong > 0 ? BROKEN : HELD);
