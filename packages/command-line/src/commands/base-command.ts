import { messageOf } from '@basilcourse/foundation/errors/message-of';
import { isAddress } from '@basilcourse/foundation/settings/field-checks';
import { Command, Option, UsageError } from 'clipanion';

import { EntryClient } from '../client/entry-client.js';
import { ExitCode } from '../exit-code.js';

/** Environment variable with the operators' addresses of entries. */
const ENTRIES_VARIABLE = 'BASILCOURSE_ENTRIES';

/** Base class of all commands. */
export abstract class BaseCommand extends Command {
  public entries = Option.String('--entries', {
    description: `Operators' addresses of entries, separated by commas; by default from ${ENTRIES_VARIABLE}.`,
    env: ENTRIES_VARIABLE,
  });

  public json = Option.Boolean('--json', false, {
    description: 'Writes JSON for scripts.',
  });

  protected get client(): EntryClient {
    const addresses = (this.entries ?? '')
      .split(',')
      .map(address => address.trim())
      .filter(address => address !== '');
    if (addresses.length === 0) {
      throw new UsageError(
        `Specify at least one entry with --entries or ${ENTRIES_VARIABLE}.`,
      );
    }
    const invalid = addresses.find(address => !isAddress(address));
    if (invalid !== undefined) {
      throw new UsageError(`${invalid} is not an IP number and port.`);
    }
    return new EntryClient(addresses, failure => {
      this.printError(failure);
    });
  }

  protected print(line: string): void {
    this.context.stdout.write(`${line}\n`);
  }

  protected printError(line: string): void {
    this.context.stderr.write(`${line}\n`);
  }

  protected printJson(value: unknown): void {
    this.print(JSON.stringify(value, undefined, 2));
  }

  /** Runs an action; an error is printed and turned into an exit code. */
  protected async handleErrors(action: () => Promise<number>): Promise<number> {
    try {
      return await action();
    } catch (error) {
      this.printError(messageOf(error));
      return error instanceof UsageError ? ExitCode.usage : ExitCode.failure;
    }
  }
}
