import type { RoutingPolicyName } from '@basilcourse/request-plane/routing/routing-policies';

/** One case of the request path measurement. */
export interface RequestCase {
  readonly policy: RoutingPolicyName;
  /** Offered load as a share of the capacity of all slots. */
  readonly load: number;
  readonly fault: 'none' | 'slow' | 'killed';
}
