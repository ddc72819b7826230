import type { Static } from '@sinclair/typebox';
import { Type } from '@sinclair/typebox';

import { TaskReportSchema } from './task-report.js';
import { UsageSampleSchema } from './usage-sample.js';

const MAXIMUM_TASKS = 5000;

/** A worker's answer to a sync command. */
export const WorkerReportSchema = Type.Object({
  worker: Type.Readonly(Type.String({ maxLength: 200 })),
  tasks: Type.Readonly(
    Type.Array(TaskReportSchema, { maxItems: MAXIMUM_TASKS }),
  ),
  usage: Type.Readonly(
    Type.Array(UsageSampleSchema, { maxItems: MAXIMUM_TASKS }),
  ),
});

export type WorkerReport = Static<typeof WorkerReportSchema>;
