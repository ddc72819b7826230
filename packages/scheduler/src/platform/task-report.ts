import type { Static } from '@sinclair/typebox';
import { Type } from '@sinclair/typebox';

/** State of one attempt at its worker. */
export const TaskReportSchema = Type.Object({
  attempt: Type.Readonly(Type.String({ maxLength: 200 })),
  state: Type.Readonly(
    Type.Union([
      Type.Literal('running'),
      Type.Literal('finished'),
      Type.Literal('failed'),
      Type.Literal('stopped'),
      Type.Literal('lapsed'),
    ]),
  ),
  /** Most recent checkpoint; empty when there is none. */
  checkpoint: Type.Readonly(Type.String({ maxLength: 200 })),
  /** Time since the checkpoint, or since the start if there is none. */
  uncheckpointedSeconds: Type.Readonly(Type.Number({ minimum: 0 })),
  /** Share of its processors that the task may use, 0 to 1. */
  throttle: Type.Readonly(Type.Number({ minimum: 0, maximum: 1 })),
  reason: Type.Readonly(Type.String({ maxLength: 500 })),
});

export type TaskReport = Static<typeof TaskReportSchema>;
