import type { Static } from '@sinclair/typebox';
import { Type } from '@sinclair/typebox';

/** Body of the `entry-joined` and `entry-left` records. */
export const EntryBodySchema = Type.Object({
  instance: Type.Readonly(Type.String({ maxLength: 200 })),
  address: Type.Readonly(Type.String({ maxLength: 100 })),
});

export type EntryBody = Static<typeof EntryBodySchema>;
