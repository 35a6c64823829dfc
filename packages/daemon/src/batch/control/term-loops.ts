/** The work that a term repeats for as long as it runs, and how often. */
import type { Log } from '../../observe/log.js';
import { describeError } from '../../shared/error-detail.js';
import { startLoops, type RunningLoops } from '../../shared/loops.js';
import type { FleetCycle } from '../hosts/fleet-cycle.js';

/** The pause between two ticks of a term. */
export const TICK_MS = 100;
/** New jobs are announced over the mesh; the feed of rows finds those whose announcement was lost. */
const JOB_FEED_MS = 500;
/**
 * The list of endpoints is polled. Each endpoint writes its entry every 1.5 s, so a blocking read would return
 * almost at once each time.
 */
const ENDPOINT_FEED_MS = 400;
/** A sweep removes up to 40 jobs, so 57 a second: more than the 50 a second that a fleet of 250 endpoints admits. */
const SWEEP_INTERVAL_MS = 700;
/** A change of holder loses up to this much of the demand history; each save is one call to the table. */
const DEMAND_HISTORY_SAVE_INTERVAL_MS = 2000;
const LOAD_LOG_INTERVAL_MS = 1000;

/** What a term repeats. */
export type TermWork = {
  /** Starts due occurrences, handles runs that stalled or lapsed, and schedules tasks. */
  readonly tick: () => Promise<void>;
  /** Confirms the evacuation view, if that is needed to start tasks. */
  readonly confirmEvacuations: () => Promise<void>;
  /** Reads and applies the changes of the list of endpoints. */
  readonly refreshEndpoints: () => Promise<void>;
  /** Reads the rows of jobs that other entries have written. */
  readonly readJobRows: () => Promise<void>;
  /** Adds jobs that waited in their rows for memory. */
  readonly addDeferredJobs: () => Promise<void>;
  /** The cycle over hosts and waves. */
  readonly fleet: Pick<FleetCycle, 'intervalMs' | 'run' | 'syncWaves'>;
  /** Deletes the rows of ended jobs and of cancellations that are no longer asked for. */
  readonly deleteExpiredRows: () => Promise<void>;
  readonly reportLoad: () => void;
  readonly updateDomainGauges: () => void;
  readonly saveDemandHistory: () => Promise<void>;
};

/**
 * Starts the loops of a term. Work that fails is logged and repeated after its pause.
 *
 * @param work - What is repeated.
 * @param log - Receives the errors.
 * @returns The loops.
 */
export const startTermLoops = (work: TermWork, log: Log): RunningLoops =>
  startLoops(
    [
      { name: 'tick', pauseMs: TICK_MS, run: work.tick },
      { name: 'evacuations', pauseMs: TICK_MS, run: work.confirmEvacuations },
      { name: 'endpoints', pauseMs: ENDPOINT_FEED_MS, run: work.refreshEndpoints },
      { name: 'jobs', pauseMs: JOB_FEED_MS, run: work.readJobRows },
      { name: 'deferred', pauseMs: TICK_MS, run: work.addDeferredJobs },
      { name: 'fleet', pauseMs: work.fleet.intervalMs, run: work.fleet.run },
      { name: 'waves', pauseMs: work.fleet.intervalMs, run: work.fleet.syncWaves },
      { name: 'sweep', pauseMs: SWEEP_INTERVAL_MS, run: work.deleteExpiredRows },
      { name: 'load', pauseMs: LOAD_LOG_INTERVAL_MS, run: async () => work.reportLoad() },
      {
        name: 'domains',
        pauseMs: LOAD_LOG_INTERVAL_MS,
        run: async () => work.updateDomainGauges(),
      },
      { name: 'learned', pauseMs: DEMAND_HISTORY_SAVE_INTERVAL_MS, run: work.saveDemandHistory },
    ],
    (name, error) => log.error('term-loop-failed', { name, detail: describeError(error) }),
  );
