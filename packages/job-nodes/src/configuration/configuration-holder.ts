import type { QueueConfiguration } from './queue-configuration.js';

/** Stores the newest configuration received; ignores older ones. */
export class ConfigurationHolder {
  public current: QueueConfiguration | undefined;

  private readonly listeners: ((configuration: QueueConfiguration) => void)[] =
    [];

  /** Applies a configuration if it is newer; returns whether it is. */
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
  public onChange(listener: (configuration: QueueConfiguration) => void): void {
    this.listeners.push(listener);
  }
}
