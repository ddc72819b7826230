/** A request for a slot of an upstream. */
export interface SlotRequest {
  readonly requestId: string;
  readonly team: string;
  readonly teamWeight: number;
  readonly deadline: number;
  /** Called at most once, when the request is given a slot. */
  readonly grant: () => void;
  /** Called at most once, when the request will never be given a slot. */
  readonly refuse: (reason: string) => void;
}
