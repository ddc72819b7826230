/** Exit codes of the command-line tool. */
export const ExitCode = {
  done: 0,
  refused: 1,
  usage: 2,
  unknown: 3,
} as const;
