import type { Static } from '@sinclair/typebox';
import { Type } from '@sinclair/typebox';

import { ResourcesSchema } from './resources.js';
import { WorkerDescriptionSchema } from './worker-description.js';

const Identifier = Type.Readonly(Type.String({ maxLength: 200 }));

const Reason = Type.Readonly(Type.String({ maxLength: 500 }));

/** Outcomes of an attempt that is certain to have ended. */
export const AttemptOutcomeSchema = Type.Union([
  Type.Literal('finished'),
  Type.Literal('failed'),
  Type.Literal('evicted'),
  Type.Literal('lapsed'),
  Type.Literal('not-started'),
  Type.Literal('cancelled'),
]);

export type AttemptOutcome = Static<typeof AttemptOutcomeSchema>;

/** Conditions of a worker, as decided by the holder of its cell's lease. */
export const WorkerConditionSchema = Type.Union([
  Type.Literal('ready'),
  Type.Literal('probation'),
  Type.Literal('unreachable'),
]);

export type WorkerCondition = Static<typeof WorkerConditionSchema>;

/** One decision of the holder of a cell's lease. */
export const DecisionSchema = Type.Union([
  Type.Object({
    type: Type.Readonly(Type.Literal('place')),
    task: Identifier,
    attempt: Type.Readonly(Type.Integer({ minimum: 1 })),
    worker: Identifier,
    resources: Type.Readonly(ResourcesSchema),
    reason: Reason,
  }),
  Type.Object({
    type: Type.Readonly(Type.Literal('evict')),
    attemptId: Identifier,
    reason: Reason,
  }),
  Type.Object({
    type: Type.Readonly(Type.Literal('lose')),
    attemptId: Identifier,
    reason: Reason,
  }),
  Type.Object({
    type: Type.Readonly(Type.Literal('recover')),
    attemptId: Identifier,
  }),
  Type.Object({
    type: Type.Readonly(Type.Literal('end')),
    attemptId: Identifier,
    outcome: Type.Readonly(AttemptOutcomeSchema),
    checkpoint: Type.Readonly(Type.String({ maxLength: 200 })),
    reason: Reason,
  }),
  Type.Object({
    type: Type.Readonly(Type.Literal('worker-join')),
    description: Type.Readonly(WorkerDescriptionSchema),
  }),
  Type.Object({
    type: Type.Readonly(Type.Literal('worker-leave')),
    worker: Identifier,
    reason: Reason,
  }),
  Type.Object({
    type: Type.Readonly(Type.Literal('worker-condition')),
    worker: Identifier,
    condition: Type.Readonly(WorkerConditionSchema),
    reason: Reason,
  }),
  Type.Object({
    type: Type.Readonly(Type.Literal('forward')),
    task: Identifier,
    cell: Identifier,
  }),
  Type.Object({
    type: Type.Readonly(Type.Literal('report-unplaceable')),
    task: Identifier,
    reason: Reason,
  }),
]);

export type Decision = Static<typeof DecisionSchema>;

/** Body of a `decisions` record. */
export const DecisionsBodySchema = Type.Object({
  cell: Identifier,
  epoch: Type.Readonly(Type.Integer({ minimum: 1 })),
  decisions: Type.Readonly(Type.Array(DecisionSchema, { maxItems: 2000 })),
});

export type DecisionsBody = Static<typeof DecisionsBodySchema>;
