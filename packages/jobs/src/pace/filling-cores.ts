/** Busy cores of the filling images on one minion. */
export type FillingCores = ReadonlyMap<string, number>;
