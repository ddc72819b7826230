/** What a way of running batch work beside serving work may do. */
export interface Policy {
  readonly name: string;
  /** Batch tasks are throttled. */
  readonly throttles: boolean;
  /** Agents are told how loads swing, and keep bounds before they break. */
  readonly forecasts: boolean;
  /** Throttled tasks move to other minions. */
  readonly moves: boolean;
  /** The mean interference of each pair is known from the start. */
  readonly knowsInterference: boolean;
}

const NOTHING: Policy = {
  name: 'none',
  throttles: false,
  forecasts: false,
  moves: false,
  knowsInterference: false,
};

const FULL: Policy = {
  name: 'forecast and move',
  throttles: true,
  forecasts: true,
  moves: true,
  knowsInterference: false,
};

/** Policies that are compared, the one in use last but one. */
export const POLICIES: readonly Policy[] = [
  NOTHING,
  { ...NOTHING, name: 'react', throttles: true },
  { ...FULL, name: 'forecast', moves: false },
  FULL,
  { ...FULL, name: 'oracle', knowsInterference: true },
];
