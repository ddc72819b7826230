import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';

const DAEMON_PATH = new URL(
  '../../../../daemon/dist/src/main.js',
  import.meta.url,
).pathname;

const TOOL_PATH = new URL(
  '../../../../command-line/dist/src/main.js',
  import.meta.url,
).pathname;

/** A daemon in a separate process. */
interface StartedDaemon {
  readonly process: ChildProcess;
  readonly exited: Promise<number | null>;
}

/** Exit code and output of the command-line tool. */
export interface ToolResult {
  readonly code: number | null;
  readonly output: string;
}

/** Starts a daemon in a separate process. */
export function startDaemon(settings: string): StartedDaemon {
  const child = spawn(process.execPath, [DAEMON_PATH, '--settings', settings], {
    stdio: ['ignore', 'ignore', 'inherit'],
  });
  const exited = new Promise<number | null>(resolve => {
    child.once('exit', resolve);
  });
  return { process: child, exited };
}

/** Runs the command-line tool in a separate process until it exits. */
export function runTool(toolArguments: readonly string[]): Promise<ToolResult> {
  const child = spawn(process.execPath, [TOOL_PATH, ...toolArguments]);
  let output = '';
  const append = (chunk: Buffer): void => {
    output += chunk.toString();
  };
  child.stdout.on('data', append);
  child.stderr.on('data', append);
  return new Promise(resolve => {
    child.once('close', code => {
      resolve({ code, output });
    });
  });
}
