/** Fields of one line of a log. */
export type LogFields = Readonly<Record<string, string | number | boolean>>;
