/** What a request brings to the gate. */
export interface SlotRequest {
  readonly requestId: string;
  readonly team: string;
  readonly teamWeight: number;
  readonly deadline: number;
  /** Called once, when a slot is taken for the request. */
  readonly grant: () => void;
  /** Called once, when the request surely will not get a slot. */
  readonly refuse: (reason: string) => void;
}
