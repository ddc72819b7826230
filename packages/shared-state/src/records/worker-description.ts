import type { Static } from '@sinclair/typebox';
import { Type } from '@sinclair/typebox';

import { ResourcesSchema } from './resources.js';

/** A worker as announced by the agent on its VM. */
export const WorkerDescriptionSchema = Type.Object({
  worker: Type.Readonly(Type.String({ maxLength: 200 })),
  address: Type.Readonly(Type.String({ maxLength: 100 })),
  region: Type.Readonly(Type.String({ maxLength: 100 })),
  availabilityZone: Type.Readonly(Type.String({ maxLength: 100 })),
  rack: Type.Readonly(Type.String({ maxLength: 100 })),
  resources: Type.Readonly(ResourcesSchema),
});

export type WorkerDescription = Static<typeof WorkerDescriptionSchema>;
