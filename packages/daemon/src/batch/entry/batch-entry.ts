/**
 * One entry of a fleet that runs batch work. It accepts jobs from clients, and is the control holder while it has the
 * control lease. All entries are equal and store nothing themselves.
 */
import {
  TABLE_UNAVAILABLE_MS,
  type PlacementPolicy,
  type QueueIndex,
} from '@valvelatch/core/batch';
import type { DataCentreId, EntryId } from '@valvelatch/core/shared/ids';
import { createGroupCommit } from '@valvelatch/platform/group-commit';

import type { Log } from '../../observe/log.js';
import type { Metrics } from '../../observe/metrics.js';
import type { OperatorResult } from '../../operators/operator-result.js';
import { describeError } from '../../shared/error-detail.js';
import { startLoops, type RunningLoops } from '../../shared/loops.js';
import {
  NEIGHBOUR_POLL_INTERVAL_MS,
  CONFIGURATION_METHOD,
  createConfigurationSync,
  type NeighbourQuestion,
} from '../configuration/configuration-sync.js';
import { createEvacuationTracker } from '../configuration/evacuation-tracker.js';
import { createStartGate } from '../configuration/start-gate.js';
import { createAccess, type Access } from './access.js';
import { createControl, type Control } from '../control/control.js';
import { CONTROL_METHOD } from '../control/holder-client.js';
import { NOTICE_REPEAT_INTERVAL_MS } from '../jobs/cancellation-notices.js';
import { createIntake, type Intake } from '../jobs/intake.js';
import { HEARTBEAT_INTERVAL_MS, createPeers, type AskPeer, type Peers } from './peers.js';
import {
  answerOperator,
  OPERATORS_METHOD,
  type OperatorQuery,
} from '../operators/operator-queries.js';
import { createRelayOrderHandler } from '../relays/relay-order-handler.js';
import { RELAY_CLOCK_METHOD } from '../relays/relay-roster.js';
import {
  createRelayedOrders,
  RELAY_ORDER_METHOD,
  RELAY_REFRESH_INTERVAL_MS,
} from '../relays/relayed-orders.js';
import { createHolderPreference, computeHolderCapacity } from '../control/holder-preference.js';
import type { BatchPlatform } from '../ports.js';
import { createRefusedJobs, REPORT_REFUSED_INTERVAL_MS } from '../jobs/refused-jobs.js';
import {
  createRelayedTable,
  PROBE_INTERVAL_MS,
  TABLE_CALL_METHOD,
  type TableCall,
} from '../relays/relayed-table.js';

/** The interval at which this entry tries to acquire or renew the control lease. */
const LEASE_TICK_INTERVAL_MS = 400;
/** The pause between reads of the operator's feed. */
const FEED_PAUSE_MS = 100;
/** The interval at which the list of entries is read. */
const PEERS_REFRESH_INTERVAL_MS = 5000;
/**
 * How long to wait for a stronger entry to answer whether it would take control. One that takes longer is no better
 * choice.
 */
const WILLING_TIMEOUT_MS = 500;
/** Submissions that arrive within this time share a transaction. */
const GROUP_COMMIT_WINDOW_MS = 4;
/** The maximum number of submissions in a transaction. */
const MAX_GROUP_COMMIT_SIZE = 30;
/**
 * How long to wait for the holder's answer to an operator. To list a whole fleet takes it a few hundred milliseconds.
 */
const OPERATOR_TIMEOUT_MS = 3000;

export type BatchEntryOptions = {
  readonly self: EntryId;
  readonly dataCentre: DataCentreId;
  /** How many cores this entry may use. Control goes to the strongest entries. */
  readonly cores: number;
  /** The capacity of its network link in each direction. */
  readonly linkBytesPerS: number;
  /** True if a holder with many orders may send them through other entries. */
  readonly mayRelayOrders: boolean;
  /** How endpoints are chosen for tasks of short steps. */
  readonly placementPolicy: PlacementPolicy;
  readonly meshHost: string;
  readonly meshPort: number;
  readonly meshKey: string;
  readonly platform: BatchPlatform;
  readonly log: Log;
  readonly metrics: Metrics;
};

export type BatchEntry = {
  /** The configuration in force; undefined before the first one is known. */
  readonly configuration: () => QueueIndex | undefined;
  readonly access: Access;
  readonly intake: Intake;
  readonly control: Control;
  /** Answers an operator, through the control holder if that is another entry. */
  readonly answerOperator: (question: OperatorQuery) => Promise<OperatorResult>;
  /** True if new clients should be routed to this entry. */
  readonly isReady: () => boolean;
  /** Gives up control at once and stops being ready for new clients. Connected clients are still served. */
  readonly drain: () => Promise<void>;
  readonly stop: () => Promise<void>;
};

/**
 * Starts an entry.
 *
 * @param options - The identity, size and location of the entry, and its platform.
 * @returns The entry.
 * @throws If it cannot listen on the mesh address.
 */
export const startBatchEntry = async ({
  self,
  dataCentre,
  cores,
  linkBytesPerS,
  mayRelayOrders,
  placementPolicy,
  meshHost,
  meshPort,
  meshKey,
  platform,
  log,
  metrics,
}: BatchEntryOptions): Promise<BatchEntry> => {
  let peers: Peers | undefined;
  let isDraining = false;

  const neighbours = (): readonly EntryId[] => peers?.others() ?? [];

  const askPeer: AskPeer = (entryId, method, payload, ms) => {
    if (!peers) throw new Error('the mesh is not open yet');
    return peers.ask(entryId, method, payload, ms);
  };

  const table = createRelayedTable({
    table: platform.table,
    neighbours,
    ask: askPeer,
    log,
    metrics,
  });

  const evacuations = createEvacuationTracker({
    maxEvacuationDelayMs: () => platform.bounds().evacuateMs,
    log,
  });

  const configuration = createConfigurationSync({
    evacuations,
    feed: platform.operator,
    neighbours,
    ask: askPeer,
    onWaves: (waves) => control.addWaves(waves),
    log,
    metrics,
  });

  const startGate = createStartGate({
    evacuations,
    configuration,
    isTableUnavailable: () => table.unansweredForMs() >= TABLE_UNAVAILABLE_MS,
  });

  const orders = createRelayedOrders({
    orders: platform.orders,
    peers: () => peers,
    readLinkUsage: platform.readLinkUsage,
    cores,
    mayRelay: mayRelayOrders,
    log,
    metrics,
  });
  const relayHandler = createRelayOrderHandler({
    orders: platform.orders,
    metrics,
    gate: startGate,
  });

  const control = createControl({
    self,
    platform: { ...platform, orders },
    table,
    peers: () => peers,
    configuration: configuration.index,
    startGate,
    placementPolicy,
    log,
    metrics,
    holderPreference: createHolderPreference({
      capacity: computeHolderCapacity(cores, linkBytesPerS),
      othersCapacity: () => peers?.strengths(),
      ask: async (entryId) => peers?.ask(entryId, CONTROL_METHOD.willing, null, WILLING_TIMEOUT_MS),
    }),
  });

  /** Answers an operator at this entry; returns undefined if it is not the control holder. */
  const answerAsHolder = (question: OperatorQuery): OperatorResult | undefined =>
    answerOperator(control, question, configuration.index()?.configuration.version ?? 0);

  const askOperators = async (question: OperatorQuery): Promise<OperatorResult> => {
    const ownAnswer = answerAsHolder(question);
    const holder = control.holder();
    if (ownAnswer) return ownAnswer;
    try {
      if (!peers || holder === null) throw new Error('nobody holds control');
      const answer = await peers.ask(holder, OPERATORS_METHOD, question, OPERATOR_TIMEOUT_MS);
      if (answer) return answer as OperatorResult;
      throw new Error(`${holder} does not hold control any more`);
    } catch (error) {
      return { kind: 'unavailable', detail: `the holder of control: ${String(error)}` };
    }
  };

  peers = await createPeers({
    self,
    cores,
    linkBytesPerS,
    dataCentre,
    host: meshHost,
    port: meshPort,
    meshKey,
    log,
    onFrame: platform.recordMeshFrame,
    answer: async (method, payload) => {
      if (method === RELAY_ORDER_METHOD) return relayHandler.answer(payload);
      if (method === RELAY_CLOCK_METHOD) return relayHandler.answerClock();
      if (method === TABLE_CALL_METHOD) return table.callForNeighbour(payload as TableCall);
      if (method === CONFIGURATION_METHOD) {
        return configuration.answerNeighbour(payload as NeighbourQuestion | number);
      }
      if (method === OPERATORS_METHOD) return answerAsHolder(payload as OperatorQuery) ?? null;
      return control.handleCall(method, payload);
    },
  });
  const openPeers = peers;

  const refusedJobs = createRefusedJobs({ send: control.reportRefusedJobs });

  const intake = createIntake({
    onRefused: refusedJobs.add,
    table,
    groupCommit: createGroupCommit({
      table,
      windowMs: GROUP_COMMIT_WINDOW_MS,
      maxGroupSize: MAX_GROUP_COMMIT_SIZE,
    }),
    control,
    log,
    metrics,
  });

  /**
   * Tries to acquire or renew the control lease. The other entries are read before that, since a weaker entry leaves
   * control to a stronger one: see `HolderPreference`.
   */
  const keepControl = async (): Promise<void> => {
    if (openPeers.strengths() === undefined) await openPeers.refresh(table);
    await control.tick();
  };

  /** Reads the list of entries again; the first read is left to `keepControl`. */
  const refreshPeers = async (): Promise<void> => {
    if (openPeers.strengths() !== undefined) await openPeers.refresh(table);
  };

  const refreshRelays = async (): Promise<void> => {
    if (control.term()) orders.refresh();
  };

  const loops: RunningLoops = startLoops(
    [
      { name: 'operator', pauseMs: FEED_PAUSE_MS, run: configuration.pollFeed },
      {
        name: 'configuration',
        pauseMs: NEIGHBOUR_POLL_INTERVAL_MS,
        run: configuration.askNeighbours,
      },
      { name: 'lease', pauseMs: LEASE_TICK_INTERVAL_MS, run: keepControl },
      { name: 'relays', pauseMs: RELAY_REFRESH_INTERVAL_MS, run: refreshRelays },
      { name: 'refused', pauseMs: REPORT_REFUSED_INTERVAL_MS, run: refusedJobs.report },
      { name: 'cancellations', pauseMs: NOTICE_REPEAT_INTERVAL_MS, run: intake.repeatNotices },
      { name: 'peers', pauseMs: PEERS_REFRESH_INTERVAL_MS, run: refreshPeers },
      { name: 'beat', pauseMs: HEARTBEAT_INTERVAL_MS, run: async () => openPeers.sendHeartbeats() },
      { name: 'probe', pauseMs: PROBE_INTERVAL_MS, run: async () => table.probe() },
    ],
    (name, error) => log.error('loop-failed', { name, detail: describeError(error) }),
  );

  return {
    configuration: configuration.index,
    access: createAccess({ configuration, log, metrics }),
    intake,
    control,
    answerOperator: askOperators,
    isReady: () => !isDraining && configuration.index() !== undefined && intake.canSubmit(),
    drain: async () => {
      isDraining = true;
      await control.resign();
    },
    stop: async () => {
      void loops.stop();
      await openPeers.close();
      platform.close();
    },
  };
};
