/**
 * Runs all test files and prints how many assertions passed and failed.
 *
 * KNOWN-RED.txt lists the test files that are known to fail, each by a line
 * `test: FILE`. They run separately, and their failures do not fail the run.
 */
import { spawnSync } from 'node:child_process';
import { readFileSync } from 'node:fs';

const knownFailures = readFileSync('KNOWN-RED.txt', 'utf8')
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

function isKnownFailure(file) {
  return knownFailures.some(known =>
    file.endsWith(known.replace(/\.ts$/, '.js')),
  );
}

function runTap(testFiles) {
  const { stdout, stderr, status } = spawnSync(
    'npx',
    [
      'tap',
      '--disable-coverage',
      '--reporter=tap',
      '--timeout=240',
      '--jobs=4',
      ...testFiles,
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

const mainRun = runTap(files.filter(file => !isKnownFailure(file)));
if (mainRun.status !== 0) {
  printFailures(mainRun);
}
for (const file of files.filter(isKnownFailure)) {
  const knownFailureRun = runTap([file]);
  process.stdout.write(
    `known red: ${file}: ${knownFailureRun.passed} assertions passed, ${knownFailureRun.failed} did not\n`,
  );
}
const failed = mainRun.status === 0 ? 0 : Math.max(1, mainRun.failed);
process.stdout.write(`${mainRun.passed} passed, ${failed} failed\n`);
process.exitCode = failed === 0 ? 0 : 1;
