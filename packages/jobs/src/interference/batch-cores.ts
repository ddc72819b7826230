/** Busy cores of each batch image on one minion. */
export type BatchCores = ReadonlyMap<string, number>;
