/** Exit codes of the command-line tool; `unknown`: the result is unknown. */
export const ExitCode = {
  success: 0,
  failure: 1,
  usage: 2,
  unknown: 3,
} as const;
