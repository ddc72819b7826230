/** Why a caller's request failed the initial checks. */
export interface BadRequest {
  /** HTTP status from 400 to 499. */
  readonly status: number;
  readonly reason: string;
}
