import * as Effect from 'effect/Effect';

import type { NodeCore } from '../node/node-core.js';
import type { LeaseManager } from './lease-manager.js';

const CHECK_INTERVAL_MILLISECONDS = 5000;

/** Time without membership after which an entry counts as departed. */
const DEPARTURE_TIMEOUT_MILLISECONDS = 30_000;

const APPEND_TIMEOUT_MILLISECONDS = 3000;

/** Appends `entry-left` for entries that stopped without appending it. */
export class DepartedEntryRemover {
  private readonly absentSince = new Map<string, number>();

  public constructor(
    private readonly core: NodeCore,
    private readonly lease: LeaseManager,
  ) {}

  public run(): Effect.Effect<never> {
    return Effect.suspend(() => this.step()).pipe(
      Effect.zipRight(Effect.sleep(CHECK_INTERVAL_MILLISECONDS)),
      Effect.forever,
    );
  }

  private step(): Effect.Effect<void> {
    const { clock, appender } = this.core;
    const now = clock.now();
    if (!this.lease.holds(now)) {
      this.absentSince.clear();
      return Effect.void;
    }
    const appends = this.departedEntries(now).map(({ instance, address }) =>
      appender.append(
        `left-${instance}`,
        'entry-left',
        { instance, address },
        now + APPEND_TIMEOUT_MILLISECONDS,
      ),
    );
    return Effect.all(appends, { discard: true });
  }

  private departedEntries(
    now: number,
  ): readonly { readonly instance: string; readonly address: string }[] {
    const { state, members, instance: ownInstance } = this.core;
    const present = new Set([
      ownInstance,
      ...members.ofRole('entry').map(({ member }) => member.instance),
    ]);
    const departed = [];
    for (const entry of state.fold.configuration.entries.values()) {
      if (entry.leftAt > 0 || present.has(entry.instance)) {
        this.absentSince.delete(entry.instance);
        continue;
      }
      const since = this.absentSince.get(entry.instance) ?? now;
      this.absentSince.set(entry.instance, since);
      if (now - since >= DEPARTURE_TIMEOUT_MILLISECONDS) {
        departed.push(entry);
      }
    }
    return departed;
  }
}
