import type { StepSpecification } from './step-specification.js';
import type { TaskTraits } from './task-traits.js';

/** Returns what agents have to know of a step's tasks. */
export function traitsOf(step: StepSpecification): TaskTraits {
  return {
    image: step.image,
    tailTargetMilliseconds: step.tailTargetMilliseconds,
    filling: step.filling,
    processorMillicores: step.processorMillicores,
  };
}
