import type { StepSpecification } from './step-specification.js';
import type { TaskTraits } from './task-traits.js';

/** Returns the properties of a step's tasks that agents need. */
export function traitsOf(step: StepSpecification): TaskTraits {
  return {
    image: step.image,
    tailTargetMilliseconds: step.tailTargetMilliseconds,
    filling: step.filling,
    processorMillicores: step.processorMillicores,
  };
}
