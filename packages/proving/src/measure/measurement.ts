/** A measurement that prints its results line by line. */
export type Measurement = (print: (line: string) => void) => Promise<void>;
