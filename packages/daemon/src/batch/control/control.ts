/** The lease on control at one entry: takes it, runs a term under it, and finds who holds it. */
import {
  TABLE_UNAVAILABLE_MS,
  type BatchJobRow,
  type Caller,
  type JobStatus,
  type PlacementPolicy,
  type QueueIndex,
  type MaintenanceRequest,
} from '@valvelatch/core/batch';
import { brand, type EntryId, type JobId } from '@valvelatch/core/shared/ids';
import type { TableClient } from '@valvelatch/platform';

import { createLeaseKeeper } from '../../leases/lease-keeper.js';
import type { StartGate } from '../configuration/start-gate.js';
import type { Log } from '../../observe/log.js';
import type { Metrics } from '../../observe/metrics.js';
import { sleep } from '../../shared/sleep.js';
import type { ControlView } from '../jobs/control-view.js';
import type { AcceptOutcome } from '../jobs/job-saver.js';
import { ENDPOINT_LEASE_MS } from '../endpoints/endpoint-link.js';
import { CONTROL_METHOD, createHolderClient, HOLDER_SILENT_MS } from './holder-client.js';
import { createResignations } from './resignations.js';
import { CONTROL_LEASE } from '../keys.js';
import type { Peers } from '../entry/peers.js';
import type { BatchPlatform } from '../ports.js';
import type { RefusedJob } from '../jobs/refused-jobs.js';
import type { RelayedTable } from '../relays/relayed-table.js';
import { createYielding, EQUAL_STANDING, HAND_OVER_LOOK_MS, type Standing } from './standing.js';
import { createTerm, type Term } from './term.js';
import type { KnownWave } from '../hosts/wave-keeper.js';

/**
 * The lease on control: for so long from its last renewal a holder without the table goes on to
 * order endpoints, so that the work in hand is done in an outage of 6 s. A holder that is lost is
 * silent on the mesh too and replaced sooner (`EARLY_TAKE_MS`).
 */
const CONTROL_LEASE_MS = 8000;
/** A renewal each 1.2 to 1.7 s: what depends on how recent the last one is needs them. */
const RENEW_AFTER_MS = 1300;
/** Clocks of entries may differ by 2 % over the lease; the rest is for late timers. */
const CONTROL_MARGIN_MS = 500;
/**
 * The lease of a holder that is silent on the mesh too is taken after this time. It renews each 1.3
 * to 1.8 s. It may still think that it holds control: endpoints and rows are fenced, hosts are
 * ordered only shortly after a renewal, and jobs are admitted only then too (`SOLE_HOLDER_MS`).
 */
const EARLY_TAKE_MS = 2600;
/**
 * For so long after a renewal no other entry can have taken the lease. Jobs that others wrote are
 * admitted only then, since those that a next holder accepted are its own to start; and a lease on
 * an endpoint is believed to have ended only then, since a next holder may have prolonged it. Less
 * than `EARLY_TAKE_MS`, by more than clocks differ in it.
 */
const SOLE_HOLDER_MS = 2400;
/** Counts of waiting jobs may be 2 s old; clients ask all entries. */
const WAITING_FRESH_MS = 700;

/** A planned stop leaves this long to find the platform again and give control up. */
const RESIGN_FOR_MS = 4200;
const RESIGN_PAUSE_MS = 250;
/**
 * Hosts are ordered only so shortly after a renewal, so that whoever takes over a lapsed lease
 * knows how long ago the last order was at least.
 */
const HOST_ORDERS_WITHIN_MS = 1800;
const TURN_MARGIN_MS = 300;

/**
 * A holder whose own route to the table is lost for so long, while neighbours are served, gives
 * control up: shorter, and a lost connection would cost a change of the holder (0.5 s); longer, and
 * accepted jobs wait for it.
 */
const TURNED_AWAY_MS = 1200;

/**
 * The look at the lease waits so long for a renewal. One that hung for several seconds kept a holder
 * from noticing that the table served others.
 */
const LOOK_MS = 600;
/**
 * A holder that the table has not answered for so long, directly or at all, cannot renew. A slow table
 * takes up to 610 ms.
 */
const CANNOT_RENEW_MS = 1000;

export type ControlOptions = {
  readonly self: EntryId;
  readonly platform: BatchPlatform;
  readonly table: RelayedTable;
  readonly peers: () => Peers | undefined;
  readonly configuration: () => QueueIndex | undefined;
  /** Whether orders to start may leave this entry; always if left out. */
  readonly startGate?: StartGate;
  readonly log: Log;
  readonly metrics: Metrics;
  /** How this entry stands among the others. */
  readonly standing?: Standing;
  /** For how long endpoints keep what runs there without contact with the holder. */
  readonly endpointLeaseMs?: number;
  /** Where tasks of short steps go; `fullest` if left out. */
  readonly placementPolicy?: PlacementPolicy;
  /** For how long another entry has been silent on the mesh; Infinity without a link to it. */
  readonly silentForMs?: (entryId: EntryId) => number;
  readonly nowMs?: () => number;
};

type Cancel = { readonly jobId: JobId; readonly caller: Caller };
type Taken = { readonly row: BatchJobRow; readonly version: number };

export type Control = ControlView & {
  /** Keeps the lease; to be called several times within it. */
  readonly tick: () => Promise<void>;
  readonly takeWaves: (orders: readonly MaintenanceRequest[]) => void;
  /** Answers another entry, perhaps later. */
  readonly answer: (method: string, payload: unknown) => unknown;
  readonly term: () => Term | undefined;
  readonly holder: () => EntryId | null;
  /** Tells the holder, here or elsewhere, of jobs that were refused; false if it was not reached. */
  readonly tellRefused: (jobs: readonly RefusedJob[]) => Promise<boolean>;
  /** Gives control up at once, for a planned stop. */
  readonly resign: () => Promise<void>;
};

/**
 * Builds the control of an entry.
 *
 * @param options - The entry, its platform and its peers.
 * @returns The control.
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
  standing = EQUAL_STANDING,
  endpointLeaseMs = ENDPOINT_LEASE_MS,
  placementPolicy = 'fullest',
  silentForMs = (entryId) => peers()?.silentForMs(entryId) ?? 0,
  nowMs = () => performance.now(),
}: ControlOptions): Control => {
  const keeper = createLeaseKeeper({
    table: table as unknown as TableClient,
    name: CONTROL_LEASE,
    self,
    durationMs: CONTROL_LEASE_MS,
    marginMs: CONTROL_MARGIN_MS,
    renewAfterMs: RENEW_AFTER_MS,
    mayTake: () => isWilling() && (isOpenToStrong() || isLeftToUs()),
    mayRetake: () => isWilling(),
    freeAfterMs: () => (isHolderSuspect() ? EARLY_TAKE_MS : undefined),
    nowMs,
  });
  const knownWaves = new Map<number, KnownWave>();
  let term: Term | undefined;
  let isResigned = false;
  const hasYielded = createYielding();
  let lookedAtMs = 0;
  let lostFence = -1;
  /** Other entries were told that nothing is ordered here any more under this fence and those before. */
  let resignedFence = -1;
  let lastHolder: EntryId | null = null;
  let waitingCache:
    { readonly atMs: number; readonly counts: ReadonlyMap<string, number> } | undefined;

  /** Feeds come by the own route only: an entry without it could hold control, and not exert it. */
  const isWilling = (): boolean => !isResigned && configuration() !== undefined && table.isServed();

  /** A holder that is silent or has resigned: its lease may be taken after `EARLY_TAKE_MS`. */
  const isHolderSuspect = (): boolean => {
    const holder = keeper.lastRow()?.holder ?? null;
    if (holder === null || holder === self) return false;
    return silentForMs(holder) > HOLDER_SILENT_MS || resignations.hasResigned(keeper.epoch());
  };

  /**
   * A strong entry takes the lease of a silent holder at once, and one that nobody holds. A holder
   * that is heard comes first: after an outage of the table it renews its lapsed lease, and what it
   * knows of tasks, run times and demand is not lost.
   */
  const isOpenToStrong = (): boolean => {
    const holder = keeper.lastRow()?.holder ?? null;
    return standing.isStrong() && (holder === null || holder === self || isHolderSuspect());
  };

  /** Entries that come first have had their time to take the lease. */
  const isLeftToUs = (): boolean => {
    const isHeld = (keeper.lastRow()?.holder ?? null) !== null;
    const wholeMs = isHolderSuspect() ? EARLY_TAKE_MS : CONTROL_LEASE_MS + CONTROL_MARGIN_MS;
    const freeAfterMs = isHeld ? wholeMs : 0;
    return hasYielded(keeper.unchangedForMs() >= freeAfterMs, nowMs());
  };

  const endTerm = async (reason: string): Promise<void> => {
    const ending = term;
    term = undefined;
    if (!ending) return;
    log.warn('control-lost', { fence: ending.state.fence, reason });
    await ending.stop();
  };

  /**
   * Holders that the platform both hears must not order hosts within `holderTurnMs` of each other.
   * One whose lease was taken from it did not renew, so it is not heard; one that gave its lease up
   * tells for how long it had ordered none.
   */
  const hostOrdersAfterMs = (): number => {
    if (keeper.takenFrom() !== null) return 0;
    const distanceMs = platform.bounds().holderTurnMs + TURN_MARGIN_MS;
    return Math.max(0, distanceMs - keeper.idleBeforeMs() - keeper.watchedMs());
  };

  /** For how long holders before may still order endpoints, by their own clocks. */
  const holdersBeforeMs = (): number => Math.max(0, keeper.earlierUntilMs() - nowMs());

  const mayOrderHosts = (): boolean =>
    table.isServed() && keeper.heldUntilMs() - nowMs() > CONTROL_LEASE_MS - HOST_ORDERS_WITHIN_MS;

  const beginTerm = (fence: number): void => {
    const { key, version } = keeper.fence();
    const begun = createTerm({
      self,
      fence,
      fenceCheck: { key, version },
      platform: { ...platform, table: { ...table, feed: platform.table.feed } },
      log,
      metrics,
      nowMs,
      holds: keeper.holds,
      mayOrderHosts,
      hostOrdersAfterMs: hostOrdersAfterMs(),
      holdersBeforeMs: holdersBeforeMs(),
      endpointLeaseMs,
      placementPolicy,
      isTableAway: () => table.silentForMs() >= TABLE_UNAVAILABLE_MS,
      soleHolderUntilMs: () => keeper.heldUntilMs() - CONTROL_LEASE_MS + SOLE_HOLDER_MS,
      configuration,
      startGate,
      onLost: (reason) => {
        lostFence = fence;
        void endTerm(reason).then(() => keeper.release());
      },
    });
    term = begun;
    begun.fleet.takeWaves(Array.from(knownWaves.values()));
    void begun.start().catch((error: unknown) => {
      const detail = error instanceof Error ? (error.stack ?? error.message) : String(error);
      log.error('term-failed', { fence, detail });
      void endTerm('it could not be started');
    });
  };

  /** The table turns this entry away and serves others: they must hold control. */
  const isTurnedAway = (): boolean =>
    nowMs() - table.lostSinceMs() > TURNED_AWAY_MS &&
    table.answeredAtMs() - table.lostSinceMs() > TURNED_AWAY_MS / 2 &&
    nowMs() - table.answeredAtMs() < TURNED_AWAY_MS;

  /** Why control should go to another entry now, if it should. */
  const findSuccession = async (): Promise<string | undefined> => {
    if (isTurnedAway()) return 'the table turns this entry away and serves others';
    if (standing.isStrong() || nowMs() - lookedAtMs < HAND_OVER_LOOK_MS) return undefined;
    lookedAtMs = nowMs();
    const stronger = await standing.findStronger();
    return stronger && `it is left to ${stronger}, which is stronger`;
  };

  const handOver = async (): Promise<void> => {
    const reason = term && (await findSuccession());
    if (reason !== undefined && (await keeper.release(term?.fleet.idleMs()))) await endTerm(reason);
  };

  /** A lapsed lease that nobody has taken is renewed; until then the term orders nothing. */
  const isTakenOver = ({ state: { fence } }: Term): boolean =>
    keeper.lastRow()?.holder !== self || keeper.epoch() !== fence;

  /** The last renewal is so old that another entry may take the lease, and the table does not answer. */
  const cannotRenew = (): boolean => {
    const renewedAtMs = keeper.heldUntilMs() - CONTROL_LEASE_MS;
    const unansweredMs = Math.max(table.silentForMs(), nowMs() - table.lostSinceMs());
    return nowMs() - renewedAtMs >= SOLE_HOLDER_MS && unansweredMs >= CANNOT_RENEW_MS;
  };

  /**
   * Answers an entry that the table serves and that sees no renewal under a fence. The term under it ends
   * if it cannot renew, and once the answer was true nothing is ordered here under that fence or an earlier one.
   */
  const resignUnder = (fence: number): boolean => {
    if (fence <= resignedFence) return true;
    const isHeld = keeper.holds() && keeper.epoch() === fence;
    const isActive = isHeld || term?.state.fence === fence;
    if ((isActive && !cannotRenew()) || keeper.epoch() > fence) return false;
    resignedFence = fence;
    keeper.abandon();
    void endTerm('the table serves others and does not answer this entry');
    return true;
  };

  const resignations = createResignations({ ask: (...args) => peers()?.ask(...args), nowMs });

  const askHolder = (): void => {
    resignations.noteTable(table.isServed() ? table.silentForMs() : Infinity);
    const row = keeper.lastRow();
    const isOther = row !== null && row.holder !== null && row.holder !== self;
    if (!isOther || !isWilling() || keeper.unchangedForMs() < SOLE_HOLDER_MS) return;
    resignations.ask(row.holder, row.epoch);
  };

  let keeping: Promise<void> | undefined;

  const keepLease = async (): Promise<void> => {
    keeping ??= keeper.tick().finally(() => {
      keeping = undefined;
    });
    await Promise.race([keeping, sleep(LOOK_MS)]);
  };

  const tick = async (): Promise<void> => {
    await handOver();
    await keepLease();
    askHolder();
    const fence = keeper.epoch();
    const isHeld = keeper.holds() && keeper.lastRow()?.holder === self;
    if (term && isTakenOver(term)) await endTerm('another entry holds control');
    const isOver = fence === lostFence || fence <= resignedFence;
    if (!term && isHeld && !isResigned && !isOver) beginTerm(fence);
    const holder = keeper.lastRow()?.holder ?? null;
    if (holder !== lastHolder) log.info('control-holder', { holder: holder ?? 'none', fence });
    lastHolder = holder;
    if (holder !== null && holder !== self) peers()?.keepLink(holder);
  };

  const holderThere = createHolderClient({
    self,
    peers,
    holder: () => lastHolder,
    log,
    metrics,
    nowMs,
  });

  const ownWaiting = (): Record<string, number> | undefined => {
    const counts = term?.waiting();
    return counts && Object.fromEntries(counts);
  };

  const waitingCounts = async (): Promise<ReadonlyMap<string, number> | undefined> => {
    if (waitingCache && nowMs() - waitingCache.atMs < WAITING_FRESH_MS) return waitingCache.counts;
    const atMs = nowMs();
    const counts =
      ownWaiting() ??
      ((await holderThere.ask(CONTROL_METHOD.waiting, null)) as Record<string, number> | undefined);
    if (!counts) return undefined;
    waitingCache = { atMs, counts: new Map(Object.entries(counts)) };
    return waitingCache.counts;
  };

  const takenHere = ({ row, version }: Taken): boolean => {
    if (row.kind === 'live') term?.takeIn(row, version);
    return term !== undefined;
  };

  const acceptHere = async (row: BatchJobRow): Promise<AcceptOutcome | null> =>
    (row.kind === 'live' ? await term?.accept(row) : undefined) ?? null;

  const refusedHere = (jobs: readonly RefusedJob[]): boolean => {
    term?.noteRefused(jobs);
    return term !== undefined;
  };

  const handlers: Readonly<Record<string, (payload: unknown) => unknown>> = {
    [CONTROL_METHOD.phase]: (payload) => term?.statusOf(brand<JobId>(String(payload))) ?? null,
    [CONTROL_METHOD.willing]: () => isWilling(),
    [CONTROL_METHOD.waiting]: () => ownWaiting() ?? null,
    [CONTROL_METHOD.taken]: (payload) => takenHere(payload as Taken),
    [CONTROL_METHOD.accept]: (payload) => acceptHere(payload as BatchJobRow),
    [CONTROL_METHOD.refused]: (payload) => refusedHere(payload as readonly RefusedJob[]),
    [CONTROL_METHOD.resigned]: (payload) => resignUnder(Number(payload)),
    [CONTROL_METHOD.cancelled]: (payload) => {
      const { jobId, caller } = payload as Cancel;
      return term?.cancel(jobId, caller) ?? null;
    },
  };

  return {
    tick,
    tellRefused: async (jobs) =>
      term ? refusedHere(jobs) : (await holderThere.ask(CONTROL_METHOD.refused, jobs)) === true,
    takeWaves: (waves) => {
      waves
        .filter(({ waveNumber }) => !knownWaves.has(waveNumber))
        .forEach((order) => knownWaves.set(order.waveNumber, { order, seenAtMs: nowMs() }));
      term?.fleet.takeWaves(Array.from(knownWaves.values()));
    },
    answer: (method, payload) => handlers[method]?.(payload),
    term: () => term,
    holder: () => lastHolder,
    resign: async () => {
      isResigned = true;
      const untilMs = nowMs() + RESIGN_FOR_MS;
      // While the platform is away nobody could take over: control goes on until it is back.
      while (term && nowMs() < untilMs && !(await keeper.release(term.fleet.idleMs()))) {
        await sleep(RESIGN_PAUSE_MS);
      }
      await endTerm('this entry stops as planned');
    },
    statusOf: async (jobId) => {
      if (term) return term.statusOf(jobId);
      return (
        ((await holderThere.ask(CONTROL_METHOD.phase, jobId)) as JobStatus | null) ?? undefined
      );
    },
    waitingOf: async (queue) => {
      const counts = await waitingCounts();
      return counts && (counts.get(queue) ?? 0);
    },
    tellTaken: (row, version) => {
      if (term) takenHere({ row, version });
      else void holderThere.ask(CONTROL_METHOD.taken, { row, version });
    },
    holderSilentMs: () => {
      if (lastHolder === null || lastHolder === self || holderThere.isAway()) return Infinity;
      return silentForMs(lastHolder);
    },
    accept: async (row) => (await (term ? acceptHere(row) : holderThere.accept(row))) ?? undefined,
    tellCancelled: async (jobId, caller) => {
      if (term) term.cancel(jobId, caller);
      else await holderThere.ask(CONTROL_METHOD.cancelled, { jobId, caller });
    },
  };
};
