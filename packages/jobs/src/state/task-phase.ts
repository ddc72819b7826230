/** Phase of a task; a task that has to run again is `waiting`. */
export type TaskPhase = 'waiting' | 'assigned' | 'done' | 'failed';
