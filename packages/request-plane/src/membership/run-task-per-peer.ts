import * as Effect from 'effect/Effect';
import * as Fiber from 'effect/Fiber';

const CHECK_INTERVAL_MILLISECONDS = 500;

/**
 * Runs one task for each peer of a changing set: starts a task when a peer is
 * added and interrupts it when the peer is removed.
 */
export function runTaskPerPeer(
  listPeers: () => readonly string[],
  task: (peer: string) => Effect.Effect<never>,
): Effect.Effect<never> {
  return Effect.gen(function* () {
    const running = new Map<string, Fiber.RuntimeFiber<never>>();
    for (;;) {
      const peers = new Set(listPeers());
      for (const [peer, fiber] of running) {
        if (!peers.has(peer)) {
          running.delete(peer);
          yield* Fiber.interruptFork(fiber);
        }
      }
      for (const peer of peers) {
        if (!running.has(peer)) {
          running.set(peer, yield* Effect.fork(task(peer)));
        }
      }
      yield* Effect.sleep(CHECK_INTERVAL_MILLISECONDS);
    }
  });
}
