/** The step that simulated fleets and tests build theirs from. */
import type { StepSpec } from './job.js';

/** One task of one core that asks for nothing else. */
export const PLAIN_STEP: StepSpec = {
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
