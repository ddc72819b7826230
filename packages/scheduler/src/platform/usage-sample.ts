import type { Static } from '@sinclair/typebox';
import { Type } from '@sinclair/typebox';

/** Resource usage of one attempt at a past time. */
export const UsageSampleSchema = Type.Object({
  attempt: Type.Readonly(Type.String({ maxLength: 200 })),
  taskKind: Type.Readonly(Type.String({ maxLength: 100 })),
  /** Time of measurement by the worker's clock, in milliseconds. */
  at: Type.Readonly(Type.Number()),
  processors: Type.Readonly(Type.Number({ minimum: 0 })),
  memoryGigabytes: Type.Readonly(Type.Number({ minimum: 0 })),
  /** Rises when other tasks on the worker slow the task down. */
  cyclesPerInstruction: Type.Readonly(Type.Number({ minimum: 0 })),
});

export type UsageSample = Static<typeof UsageSampleSchema>;
