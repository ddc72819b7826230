import type { Static } from '@sinclair/typebox';
import { Type } from '@sinclair/typebox';

/** Body of a `lease-claim` record: a claim on the lease of a cell. */
export const LeaseClaimBodySchema = Type.Object({
  cell: Type.Readonly(Type.String({ maxLength: 200 })),
  holder: Type.Readonly(Type.String({ maxLength: 200 })),
  /** State of the cell as read by the claimant; a change voids the claim. */
  previousEpoch: Type.Readonly(Type.Integer({ minimum: 0 })),
  previousRenewals: Type.Readonly(Type.Integer({ minimum: 0 })),
});

export type LeaseClaimBody = Static<typeof LeaseClaimBodySchema>;

/** Body of the `lease-renewal` and `lease-release` records. */
export const LeaseHolderBodySchema = Type.Object({
  cell: Type.Readonly(Type.String({ maxLength: 200 })),
  epoch: Type.Readonly(Type.Integer({ minimum: 1 })),
});

export type LeaseHolderBody = Static<typeof LeaseHolderBodySchema>;
