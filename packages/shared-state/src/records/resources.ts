import type { Static } from '@sinclair/typebox';
import { Type } from '@sinclair/typebox';

/** Processors in cores, memory in gigabytes, accelerators as a count. */
export const ResourcesSchema = Type.Object({
  processors: Type.Readonly(Type.Number({ minimum: 0 })),
  memoryGigabytes: Type.Readonly(Type.Number({ minimum: 0 })),
  accelerators: Type.Readonly(Type.Integer({ minimum: 0 })),
});

export type Resources = Static<typeof ResourcesSchema>;
