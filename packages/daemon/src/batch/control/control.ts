/** Manages the control lease at one entry: takes and renews it, runs a term while it is held, and finds its holder. */
import {
  TABLE_UNAVAILABLE_MS,
  type JobStatus,
  type PlacementPolicy,
  type QueueIndex,
  type MaintenanceRequest,
} from '@valvelatch/core/batch';
import type { EntryId } from '@valvelatch/core/shared/ids';
import { rowKey } from '@valvelatch/core/rows/rows';
import type { TableClient } from '@valvelatch/platform';

import { createLeaseManager } from '../../leases/lease-manager.js';
import type { StartGate } from '../configuration/start-gate.js';
import type { Log } from '../../observe/log.js';
import type { Metrics } from '../../observe/metrics.js';
import { describeError } from '../../shared/error-detail.js';
import { sleep } from '../../shared/sleep.js';
import type { ControlClient } from '../jobs/control-client.js';
import { ENDPOINT_LEASE_MS } from '../endpoints/endpoint-link.js';
import { CONTROL_METHOD, createHolderClient } from './holder-client.js';
import {
  CONTROL_LEASE_MARGIN_MS,
  CONTROL_LEASE_MS,
  RENEW_AFTER_MS,
  SOLE_HOLDER_MS,
} from './control-lease-timing.js';
import { createHolderLimits } from './holder-limits.js';
import { createResignations } from './resignations.js';
import { createRowAlarm } from './row-alarm.js';
import { CONTROL_LEASE } from '../keys.js';
import type { Peers } from '../entry/peers.js';
import type { BatchPlatform } from '../ports.js';
import type { RefusedJob } from '../jobs/refused-jobs.js';
import type { RelayedTable } from '../relays/relayed-table.js';
import {
  EQUAL_PREFERENCE,
  HANDOVER_CHECK_INTERVAL_MS,
  type HolderPreference,
} from './holder-preference.js';
import { createTakeoverRules } from './takeover-rules.js';
import { createTermCalls, type CallHandlers } from './term-calls.js';
import type { Term } from './term-types.js';
import { createWaitingCounts, type WaitingCounts } from './waiting-counts.js';
import { createTerm } from './term.js';
import type { KnownWave } from '../hosts/wave-tracker.js';

/** How long a planned stop tries to give up control, in case the platform is unavailable at first. */
const RESIGN_TIMEOUT_MS = 4200;
const RESIGN_RETRY_MS = 250;
/**
 * How long one tick waits for the lease to be read or renewed. Without the limit a renewal that hangs for several
 * seconds would keep a holder from noticing that the table serves other entries.
 */
const LEASE_TICK_TIMEOUT_MS = 600;
export type ControlOptions = {
  readonly self: EntryId;
  readonly platform: BatchPlatform;
  readonly table: RelayedTable;
  /** Undefined while the mesh is not open. */
  readonly peers: () => Peers | undefined;
  /** The operator's queues; undefined until they were read once. */
  readonly configuration: () => QueueIndex | undefined;
  /** Decides whether this entry may send start orders; if left out, it always may. */
  readonly startGate?: StartGate;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Whether this entry is preferred as holder; all entries are equal if left out. */
  readonly holderPreference?: HolderPreference;
  /** How long an endpoint keeps its runs without contact with the holder, in milliseconds. */
  readonly endpointLeaseMs?: number;
  /** How endpoints are chosen for tasks of short steps; `fullest` if left out. */
  readonly placementPolicy?: PlacementPolicy;
  /** The most memory that jobs may take at this entry, in bytes; a share of the heap if left out. */
  readonly jobMemoryBytes?: number;
  /** For how long another entry has been silent on the mesh, in milliseconds; Infinity without a link to it. */
  readonly peerSilentForMs?: (entryId: EntryId) => number;
  readonly nowMs?: () => number;
};

export type Control = ControlClient & {
  /** Takes, renews or hands over the lease, and starts and ends terms; to be called several times within a lease. */
  readonly tick: () => Promise<void>;
  /** Adds maintenance waves that this entry has heard of; known ones are ignored. */
  readonly addWaves: (orders: readonly MaintenanceRequest[]) => void;
  /** Answers a call of another entry, possibly with a promise; undefined for an unknown method. */
  readonly handleCall: (method: string, payload: unknown) => unknown;
  /** The running term; undefined while this entry does not hold control. */
  readonly term: () => Term | undefined;
  /** Reports refused jobs to the holder, which may be this entry; false if it was not reached. */
  readonly reportRefusedJobs: (jobs: readonly RefusedJob[]) => Promise<boolean>;
  /** Gives up control, for a planned stop. */
  readonly resign: () => Promise<void>;
};

/**
 * Builds the control of batch work at one entry.
 *
 * @param options - The entry, its platform and its peers.
 * @returns The control, which does nothing until `tick` is called.
 */
export const createControl = ({
  self,
  platform,
  table,
  peers,
  configuration,
  startGate,
  log,
  metrics,
  holderPreference = EQUAL_PREFERENCE,
  endpointLeaseMs = ENDPOINT_LEASE_MS,
  placementPolicy = 'fullest',
  jobMemoryBytes,
  peerSilentForMs = (entryId) => peers()?.silentForMs(entryId) ?? 0,
  nowMs = () => performance.now(),
}: ControlOptions): Control => {
  const keeper = createLeaseManager({
    table: table as unknown as TableClient,
    name: CONTROL_LEASE,
    self,
    durationMs: CONTROL_LEASE_MS,
    marginMs: CONTROL_LEASE_MARGIN_MS,
    renewAfterMs: RENEW_AFTER_MS,
    mayAcquire: () => isWilling() && takeover.mayAcquire(),
    mayReacquire: () => isWilling(),
    freeAfterMs: () => takeover.freeAfterMs(),
    onUnreadableRow: createRowAlarm({ key: rowKey.lease(CONTROL_LEASE), log, metrics }),
    nowMs,
  });
  const limits = createHolderLimits({
    lease: keeper,
    table,
    holderTurnMs: () => platform.bounds().holderTurnMs,
    nowMs,
  });
  const takeover = createTakeoverRules({
    self,
    lease: keeper,
    holderPreference,
    peerSilentForMs,
    hasResigned: (fence) => resignations.hasResigned(fence),
    nowMs,
  });
  const knownWaves = new Map<number, KnownWave>();
  let term: Term | undefined;
  let isResigned = false;
  let checkedForStrongerAtMs = 0;
  let lostFence = -1;
  /** Other entries were told that this entry sends no more orders under this fence or an earlier one. */
  let resignedFence = -1;
  let lastHolder: EntryId | null = null;

  /**
   * An entry without its own route to the table does not take control: feeds are read over that route only, so
   * it could keep the lease through neighbours but learn of no new work.
   */
  const isWilling = (): boolean =>
    !isResigned && configuration() !== undefined && table.isDirectRouteUp();

  const endTerm = async (reason: string): Promise<void> => {
    const endingTerm = term;
    term = undefined;
    if (!endingTerm) return;
    log.warn('control-lost', { fence: endingTerm.state.fence, reason });
    await endingTerm.stop();
  };

  const beginTerm = (fence: number): void => {
    const { key, version } = keeper.fence();
    const newTerm = createTerm({
      self,
      fence,
      fenceCheck: { key, version },
      platform: { ...platform, table: { ...table, feed: platform.table.feed } },
      log,
      metrics,
      nowMs,
      holdsLease: keeper.holds,
      mayOrderHosts: limits.mayOrderHosts,
      hostOrderDelayMs: limits.hostOrdersAfterMs(),
      formerOrdersRemainingMs: limits.formerOrdersRemainingMs(),
      endpointLeaseMs,
      placementPolicy,
      ...(jobMemoryBytes === undefined ? {} : { jobMemoryBytes }),
      isTableUnavailable: () => table.unansweredForMs() >= TABLE_UNAVAILABLE_MS,
      soleHolderUntilMs: limits.soleHolderUntilMs,
      configuration,
      startGate,
      onLost: (reason) => {
        lostFence = fence;
        void endTerm(reason).then(() => keeper.release());
      },
    });
    term = newTerm;
    newTerm.fleet.addWaves(Array.from(knownWaves.values()));
    void newTerm.start().catch((error: unknown) => {
      log.error('term-failed', { fence, detail: describeError(error) });
      void endTerm('the term could not be started');
    });
  };

  /** The reason why control should go to another entry now; undefined if it should not. */
  const findHandoverReason = async (): Promise<string | undefined> => {
    if (limits.isTableServingOthersOnly()) return 'the table serves other entries and not this one';
    if (
      holderPreference.isPreferred() ||
      nowMs() - checkedForStrongerAtMs < HANDOVER_CHECK_INTERVAL_MS
    )
      return undefined;
    checkedForStrongerAtMs = nowMs();
    const stronger = await holderPreference.findHigherCapacityEntry();
    return stronger && `handed over to ${stronger}, which has more capacity`;
  };

  const handOver = async (): Promise<void> => {
    const reason = term && (await findHandoverReason());
    if (reason !== undefined && (await keeper.release(term?.fleet.sinceLastOrderMs())))
      await endTerm(reason);
  };

  /**
   * True if another entry has taken the lease since the term began. A lapsed lease that nobody has taken does not
   * end the term: it sends no orders until the lease is renewed.
   */
  const isTakenOver = ({ state: { fence } }: Term): boolean =>
    keeper.lastRow()?.holder !== self || keeper.epoch() !== fence;

  /**
   * Answers an entry that the table serves and that sees no renewal under a fence. If this entry cannot renew, the
   * term under that fence ends. After a true answer this entry sends no orders under that fence or an earlier one.
   */
  const resignFence = (fence: number): boolean => {
    if (fence <= resignedFence) return true;
    const isHeld = keeper.holds() && keeper.epoch() === fence;
    const isActive = isHeld || term?.state.fence === fence;
    if ((isActive && !limits.cannotRenew()) || keeper.epoch() > fence) return false;
    resignedFence = fence;
    keeper.abandon();
    void endTerm('the table serves other entries and does not answer this one');
    return true;
  };

  const resignations = createResignations({ ask: (...args) => peers()?.ask(...args), nowMs });

  const askHolderIfResigned = (): void => {
    resignations.recordTableSilence(table.isDirectRouteUp() ? table.unansweredForMs() : Infinity);
    const row = keeper.lastRow();
    const isOther = row !== null && row.holder !== null && row.holder !== self;
    if (!isOther || !isWilling() || keeper.unchangedForMs() < SOLE_HOLDER_MS) return;
    resignations.askIfResigned(row.holder, row.epoch);
  };

  let pendingLeaseTick: Promise<void> | undefined;

  const keepLease = async (): Promise<void> => {
    pendingLeaseTick ??= keeper.tick().finally(() => {
      pendingLeaseTick = undefined;
    });
    await Promise.race([pendingLeaseTick, sleep(LEASE_TICK_TIMEOUT_MS)]);
  };

  const tick = async (): Promise<void> => {
    await handOver();
    await keepLease();
    askHolderIfResigned();
    const fence = keeper.epoch();
    const isHeld = keeper.holds() && keeper.lastRow()?.holder === self;
    if (term && isTakenOver(term)) await endTerm('another entry holds control');
    const isFenceRetired = fence === lostFence || fence <= resignedFence;
    if (!term && isHeld && !isResigned && !isFenceRetired) beginTerm(fence);
    const holder = keeper.lastRow()?.holder ?? null;
    if (holder !== lastHolder) log.info('control-holder', { holder: holder ?? 'none', fence });
    lastHolder = holder;
    if (holder !== null && holder !== self) peers()?.ensureLink(holder);
  };

  const holderClient = createHolderClient({
    self,
    peers,
    holder: () => lastHolder,
    log,
    metrics,
    nowMs,
  });

  const termCalls = createTermCalls(() => term);

  const readWaitingCounts = createWaitingCounts({
    countHere: termCalls.countWaiting,
    askHolder: async () =>
      (await holderClient.ask(CONTROL_METHOD.waiting, null)) as WaitingCounts | undefined,
    nowMs,
  });

  const handlers: CallHandlers = {
    ...termCalls.handlers,
    [CONTROL_METHOD.willing]: () => isWilling(),
    [CONTROL_METHOD.resigned]: (payload) => resignFence(Number(payload)),
  };

  return {
    tick,
    reportRefusedJobs: async (jobs) =>
      term
        ? termCalls.recordRefused(jobs)
        : (await holderClient.ask(CONTROL_METHOD.refused, jobs)) === true,
    addWaves: (waves) => {
      waves
        .filter(({ waveNumber }) => !knownWaves.has(waveNumber))
        .forEach((request) =>
          knownWaves.set(request.waveNumber, { request, firstSeenAtMs: nowMs() }),
        );
      term?.fleet.addWaves(Array.from(knownWaves.values()));
    },
    handleCall: (method, payload) => handlers[method]?.(payload),
    term: () => term,
    holder: () => lastHolder,
    resign: async () => {
      isResigned = true;
      const untilMs = nowMs() + RESIGN_TIMEOUT_MS;
      // While the platform is unavailable no entry could take over, so this term continues until it is back.
      while (term && nowMs() < untilMs && !(await keeper.release(term.fleet.sinceLastOrderMs()))) {
        await sleep(RESIGN_RETRY_MS);
      }
      await endTerm('planned stop of this entry');
    },
    findStatus: async (jobId) => {
      if (term) return term.statusOf(jobId);
      return (
        ((await holderClient.ask(CONTROL_METHOD.phase, jobId)) as JobStatus | null) ?? undefined
      );
    },
    countWaiting: async (queue) => {
      const counts = await readWaitingCounts();
      return counts && (counts.get(queue) ?? 0);
    },
    notifyAccepted: (row, version) => {
      if (term) termCalls.admitWritten({ row, version });
      else holderClient.notifyWritten({ row, version });
    },
    holderSilentMs: () => {
      if (lastHolder === null || lastHolder === self || holderClient.isTableUnavailableToHolder())
        return Infinity;
      return peerSilentForMs(lastHolder);
    },
    accept: async (row) =>
      (await (term ? termCalls.accept(row) : holderClient.accept(row))) ?? undefined,
    notifyCancelled: async (jobId, caller) => {
      const phase = term
        ? term.cancel(jobId, caller)
        : await holderClient.notifyCancelled({ jobId, caller });
      return typeof phase === 'string';
    },
  };
};
