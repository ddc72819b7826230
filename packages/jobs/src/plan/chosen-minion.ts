import type { RoomView } from './room-view.js';

/** The minion chosen for a task, and what it costs there. */
export interface ChosenMinion {
  readonly room: RoomView;
  /** Bounds of serving tasks that the choice endangers; parts count. */
  readonly endangeredBounds: number;
}
