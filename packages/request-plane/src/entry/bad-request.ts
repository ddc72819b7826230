/** Why a caller's request failed the checks that precede all other work. */
export interface BadRequest {
  /** HTTP status from 400 to 499. */
  readonly status: number;
  readonly reason: string;
}
