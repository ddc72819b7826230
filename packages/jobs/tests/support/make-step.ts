import type { StepSpecification } from '../../src/model/step-specification.js';

/** Returns a step with one plain task of one core, with some fields replaced. */
export function makeStep(
  fields: Partial<StepSpecification> = {},
): StepSpecification {
  return {
    taskCount: 1,
    processorMillicores: 1000,
    memoryMegabytes: 100,
    accelerators: 0,
    estimatedMilliseconds: 1000,
    after: [],
    checkpointing: false,
    gang: false,
    tightlyCoupled: false,
    requiredLabel: '',
    dataRack: '',
    maximumPerMinion: 0,
    copiesAllowed: false,
    longRunning: false,
    image: 'plain',
    tailTargetMilliseconds: 0,
    filling: false,
    missAllowance: 0,
    ...fields,
  };
}
