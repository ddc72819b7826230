/** An address split into host and port. */
export interface HostAndPort {
  readonly host: string;
  readonly port: number;
}
