/**
 * Runs the test files and prints how many assertions passed and failed.
 *
 * Files named in KNOWN-RED.txt by a line `test: FILE` run apart: they are
 * printed, and their failures do not fail the run.
 */
import { spawnSync } from 'node:child_process';
import { readFileSync } from 'node:fs';

const knownRed = readFileSync('KNOWN-RED.txt', 'utf8')
  .split('\n')
  .filter(line => line.startsWith('test: '))
  .map(line => line.slice('test: '.length).trim());

const files = readTestFiles();

function readTestFiles() {
  const found = spawnSync(
    'find',
    ['packages', 'platform', '-path', '*/dist/tests/*', '-name', '*.test.js'],
    { encoding: 'utf8' },
  ).stdout;
  return found
    .split('\n')
    .filter(file => file !== '' && !file.includes('node_modules'))
    .sort();
}

function isKnownRed(file) {
  return knownRed.some(red => file.endsWith(red.replace(/\.ts$/, '.js')));
}

function runTap(chosen) {
  const { stdout, stderr, status } = spawnSync(
    'npx',
    [
      'tap',
      '--disable-coverage',
      '--reporter=tap',
      '--timeout=240',
      '--jobs=4',
      ...chosen,
    ],
    { encoding: 'utf8', maxBuffer: 256 * 1024 * 1024 },
  );
  const summary = /# \{ total: \d+[^}]*\}/g.exec(stdout)?.[0] ?? '';
  const passed = Number(/pass: (\d+)/.exec(summary)?.[1] ?? 0);
  const failed = Number(/fail: (\d+)/.exec(summary)?.[1] ?? 0);
  return { stdout, stderr, status, passed, failed };
}

function printFailures({ stdout, stderr }) {
  const lines = stdout.split('\n');
  lines.forEach((line, index) => {
    if (/^\s*not ok/.test(line)) {
      process.stdout.write(`${lines.slice(index, index + 30).join('\n')}\n`);
    }
  });
  process.stdout.write(stderr);
}

const green = runTap(files.filter(file => !isKnownRed(file)));
if (green.status !== 0) {
  printFailures(green);
}
for (const file of files.filter(isKnownRed)) {
  const red = runTap([file]);
  process.stdout.write(
    `known red: ${file}: ${red.passed} assertions passed, ${red.failed} did not\n`,
  );
}
const failed = green.status === 0 ? 0 : Math.max(1, green.failed);
process.stdout.write(`${green.passed} passed, ${failed} failed\n`);
process.exitCode = failed === 0 ? 0 : 1;
