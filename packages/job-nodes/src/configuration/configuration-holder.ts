import type { QueueConfiguration } from './queue-configuration.js';

/** Keeps the newest configuration that was heard of; never goes back. */
export class ConfigurationHolder {
  public current: QueueConfiguration | undefined;

  private readonly listeners: ((known: QueueConfiguration) => void)[] = [];

  /** Takes a configuration if it is newer; true if it was. */
  public offer(configuration: QueueConfiguration): boolean {
    if (configuration.version <= (this.current?.version ?? -1)) {
      return false;
    }
    this.current = configuration;
    this.listeners.forEach(listener => {
      listener(configuration);
    });
    return true;
  }

  /** Calls back with each newer configuration. */
  public onChange(listener: (known: QueueConfiguration) => void): void {
    this.listeners.push(listener);
  }
}
