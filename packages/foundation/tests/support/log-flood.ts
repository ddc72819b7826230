/**
 * Logs without a pause for a while; tells over the channel to its parent how
 * long its longest turn was; asked for it, writes one line more and exits.
 */
import { createLogger } from '../../src/logging/create-logger.js';

const LINES_A_TURN = 200;

const TURNS = 150;

const log = createLogger('flood', 'info');
const parts = Array.from({ length: 40 }, (_, index) => log(`part-${index}`));

let longest = 0;
let turn = 0;

function work(): void {
  const began = performance.now();
  for (let line = 0; line < LINES_A_TURN; line += 1) {
    parts[line % parts.length]?.info('A line is written.', { turn, line });
  }
  longest = Math.max(longest, performance.now() - began);
  turn += 1;
  if (turn < TURNS) {
    setTimeout(work, 5);
    return;
  }
  process.send?.({ longest });
}

process.on('message', () => {
  log('end').error('The last line.');
  process.exit(0);
});
work();
