/**
 * Logs in many short turns and sends the duration of the longest turn to the
 * parent process. On any message from the parent, logs one more line and exits.
 */
import { createLogger } from '../../src/logging/create-logger.js';

const LINES_PER_TURN = 200;

const TURNS = 150;

const log = createLogger('flood', 'info');
const parts = Array.from({ length: 40 }, (_, index) => log(`part-${index}`));

let longestTurnMilliseconds = 0;
let turn = 0;

function runTurn(): void {
  const startedAt = performance.now();
  for (let line = 0; line < LINES_PER_TURN; line += 1) {
    parts[line % parts.length]?.info('A line is written.', { turn, line });
  }
  longestTurnMilliseconds = Math.max(
    longestTurnMilliseconds,
    performance.now() - startedAt,
  );
  turn += 1;
  if (turn < TURNS) {
    setTimeout(runTurn, 5);
    return;
  }
  process.send?.({ longestTurnMilliseconds });
}

process.on('message', () => {
  log('end').error('The last line.');
  process.exit(0);
});
runTurn();
