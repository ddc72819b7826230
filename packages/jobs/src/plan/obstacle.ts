/** Why a task is not started on a minion now. */
export type Obstacle =
  | 'disconnected'
  | 'not described'
  | 'draining'
  | 'silent'
  | 'backs off'
  | 'another service'
  | 'no label'
  | 'step limit'
  | 'memory'
  | 'accelerators'
  | 'processor time'
  | 'idle processor time'
  | 'endangered bounds';
