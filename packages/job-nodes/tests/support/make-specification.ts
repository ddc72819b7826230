import type { JobSpecification } from '@basilcourse/jobs/model/job-specification';
import type { StepSpecification } from '@basilcourse/jobs/model/step-specification';

/** Creates a step of independent tasks without special requirements. */
export function makeStep(
  taskCount: number,
  processorMillicores: number,
): StepSpecification {
  return {
    taskCount,
    processorMillicores,
    memoryMegabytes: 10,
    accelerators: 0,
    estimatedMilliseconds: 200,
    after: [],
    checkpointing: false,
    gang: false,
    tightlyCoupled: false,
    requiredLabel: '',
    dataRack: '',
    maximumPerMinion: 0,
    copiesAllowed: false,
    longRunning: false,
    image: '',
    tailTargetMilliseconds: 0,
    filling: false,
    missAllowance: 0,
  };
}

/** Creates a job that runs once. */
export function makeSpecification(
  identifier: string,
  steps: readonly StepSpecification[],
): JobSpecification {
  return {
    identifier,
    queue: 'queue',
    payload: 'text',
    steps,
    repetitions: 0,
    firstDueAt: 0,
    intervalMilliseconds: 0,
  };
}
