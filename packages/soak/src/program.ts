import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';
import { openSync } from 'node:fs';
import { fileURLToPath } from 'node:url';

const MAIN_FILE = fileURLToPath(
  new URL('../../../../platform/dist/src/main.js', import.meta.url),
);

/** The platform starts a program that has ended again after a short delay. */
const RESTART_MILLISECONDS = 500;

/** Where a program's settings and logs are. */
interface ProgramFiles {
  readonly settings: string;
  readonly log: string;
}

/** One of the real programs, in a process of its own that is kept running. */
export class Program {
  public readonly name: string;

  private readonly role: 'entry' | 'agent';

  private readonly files: ProgramFiles;

  private readonly onChange: (change: 'started' | 'ended') => void;

  private child: ChildProcess | undefined;

  private closed = false;

  public constructor(
    name: string,
    role: 'entry' | 'agent',
    files: ProgramFiles,
    onChange: (change: 'started' | 'ended') => void,
  ) {
    this.name = name;
    this.role = role;
    this.files = files;
    this.onChange = onChange;
  }

  /** Starts the process, and again whenever it has ended. */
  public start(): void {
    const log = openSync(this.files.log, 'a');
    const child = spawn(process.execPath, [MAIN_FILE, this.role], {
      stdio: ['ignore', log, log],
      env: { BASILCOURSE_NODE_FILE: this.files.settings },
    });
    this.child = child;
    this.onChange('started');
    child.once('exit', () => {
      this.onChange('ended');
      if (!this.closed) {
        setTimeout(() => {
          this.start();
        }, RESTART_MILLISECONDS);
      }
    });
  }

  /** Sends a signal to the process. */
  public signal(signal: NodeJS.Signals): void {
    this.child?.kill(signal);
  }

  /** Ends the process for good. */
  public close(): void {
    this.closed = true;
    this.signal('SIGCONT');
    this.signal('SIGKILL');
  }
}
