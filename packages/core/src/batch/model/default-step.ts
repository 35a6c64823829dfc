/** The step from which simulated fleets and tests derive their steps. */
import type { StepSpec } from './job.js';

/** A step of one task that needs one core and little memory and has no other requirement. */
export const DEFAULT_STEP: StepSpec = {
  taskCount: 1,
  cpuMillis: 1000,
  memoryMb: 100,
  accelerators: 0,
  estimateMs: 500,
  after: [],
  isGang: false,
  isRackLocal: false,
  requiredLabel: '',
  nearRack: '',
  mostPerEndpoint: 0,
  isSpeculative: false,
  isLasting: false,
  mayMiss: 0,
  image: '',
  targetMs: 0,
  fillsGaps: false,
  savesProgress: false,
};
