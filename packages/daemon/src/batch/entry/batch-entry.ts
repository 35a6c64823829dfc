/**
 * One entry of a fleet that runs batch work: takes jobs from clients, and holds control of the
 * fleet while it has the lease. All entries are alike and keep nothing.
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
import { startLoops, type RunningLoops } from '../../shared/loops.js';
import {
  ASK_NEIGHBOURS_EVERY_MS,
  CONFIGURATION_METHOD,
  createConfigurationKeeper,
  type NeighbourQuestion,
} from '../configuration/configuration-keeper.js';
import { createEvacuationKeeper } from '../configuration/evacuation-keeper.js';
import { createStartGate } from '../configuration/start-gate.js';
import { createAccess, type Access } from './access.js';
import { createControl, type Control } from '../control/control.js';
import { CONTROL_METHOD } from '../control/holder-client.js';
import { createIntake, type Intake } from '../jobs/intake.js';
import { BEAT_MS, createPeers, type AskPeer, type Peers } from './peers.js';
import { answerOperator, OPERATORS_METHOD, type OperatorQuestion } from '../operators/operators.js';
import { createOrderAgent } from '../relays/order-agent.js';
import { createRelayedOrders, ORDER_METHOD, RELAYS_EVERY_MS } from '../relays/relayed-orders.js';
import { createStanding, strengthOf } from '../control/standing.js';
import type { BatchPlatform } from '../ports.js';
import { createRefusedJobs, TELL_REFUSED_EVERY_MS } from '../jobs/refused-jobs.js';
import {
  createRelayedTable,
  PROBE_EVERY_MS,
  RELAY_METHOD,
  type RelayCall,
} from '../relays/relayed-table.js';

const LEASE_TICK_MS = 400;
const OPERATOR_RETRY_MS = 100;
const PEERS_MS = 5000;
/** A stronger entry that takes longer to say whether it would take control is no better off. */
const WILLING_MS = 500;
/** Submissions that come within this time share a transaction. */
const GROUP_MS = 4;
const GROUP_SIZE = 30;
/** A list of a whole fleet takes the holder some hundred milliseconds. */
const OPERATORS_MS = 3000;

export type BatchEntryOptions = {
  readonly self: EntryId;
  readonly dataCentre: DataCentreId;
  /** How many cores this entry may use: the strongest entries hold control. */
  readonly cores: number;
  /** What its link carries each way. */
  readonly linkBytesPerS: number;
  /** True if a holder whose link is busy may have others carry its orders. */
  readonly mayRelayOrders: boolean;
  /** Where tasks of short steps go. */
  readonly placementPolicy: PlacementPolicy;
  readonly meshHost: string;
  readonly meshPort: number;
  readonly meshKey: string;
  readonly platform: BatchPlatform;
  readonly log: Log;
  readonly metrics: Metrics;
};

export type BatchEntry = {
  readonly configuration: () => QueueIndex | undefined;
  readonly access: Access;
  readonly intake: Intake;
  readonly control: Control;
  /** Answers an operator, through the holder of control. */
  readonly askOperators: (question: OperatorQuestion) => Promise<OperatorResult>;
  /** True if new clients should be sent here. */
  readonly isReady: () => boolean;
  /** Gives up control at once and takes no new clients; those connected are served on. */
  readonly drain: () => Promise<void>;
  readonly stop: () => Promise<void>;
};

/**
 * Starts an entry.
 *
 * @param options - Its name, its place, its platform.
 * @returns The entry.
 * @throws Where the mesh address cannot be listened on.
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

  const evacuations = createEvacuationKeeper({
    evacuateMs: () => platform.bounds().evacuateMs,
    log,
  });

  const configuration = createConfigurationKeeper({
    evacuations,
    feed: platform.operator,
    neighbours,
    ask: askPeer,
    onWaves: (waves) => control.takeWaves(waves),
    log,
    metrics,
  });

  const startGate = createStartGate({
    evacuations,
    configuration,
    isTableAway: () => table.silentForMs() >= TABLE_UNAVAILABLE_MS,
  });

  const orders = createRelayedOrders({
    orders: platform.orders,
    peers: () => peers,
    linkUse: platform.linkUse,
    isAllowed: mayRelayOrders,
    log,
    metrics,
  });
  const agent = createOrderAgent(platform.orders, metrics, startGate);

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
    standing: createStanding({
      strength: strengthOf(cores, linkBytesPerS),
      othersStrength: () => peers?.strengths(),
      ask: async (entryId) => peers?.ask(entryId, CONTROL_METHOD.willing, null, WILLING_MS),
    }),
  });

  const answerHere = (question: OperatorQuestion): OperatorResult | undefined =>
    answerOperator(control, question, configuration.index()?.configuration.version ?? 0);

  const askOperators = async (question: OperatorQuestion): Promise<OperatorResult> => {
    const own = answerHere(question);
    const holder = control.holder();
    if (own) return own;
    try {
      if (!peers || holder === null) throw new Error('nobody holds control');
      const answer = await peers.ask(holder, OPERATORS_METHOD, question, OPERATORS_MS);
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
    onFrame: platform.noteMeshFrame,
    answer: async (method, payload) => {
      if (method === ORDER_METHOD) return agent.answer(payload);
      if (method === RELAY_METHOD) return table.answerNeighbour(payload as RelayCall);
      if (method === CONFIGURATION_METHOD) {
        return configuration.answerNeighbour(payload as NeighbourQuestion | number);
      }
      if (method === OPERATORS_METHOD) return answerHere(payload as OperatorQuestion) ?? null;
      return control.answer(method, payload);
    },
  });
  const openPeers = peers;

  const refusedJobs = createRefusedJobs({ send: control.tellRefused });

  const intake = createIntake({
    onRefused: refusedJobs.add,
    table,
    group: createGroupCommit({ table, windowMs: GROUP_MS, mostPerGroup: GROUP_SIZE }),
    control,
    log,
    metrics,
  });

  /** Who else is there is read before control is taken for the first time: see `Standing`. */
  const keepControl = async (): Promise<void> => {
    if (openPeers.strengths() === undefined) await openPeers.refresh(table);
    await control.tick();
  };

  const refreshPeers = async (): Promise<void> => {
    if (openPeers.strengths() !== undefined) await openPeers.refresh(table);
  };

  const refreshRelays = async (): Promise<void> => {
    if (control.term()) orders.refresh();
  };

  const loops: RunningLoops = startLoops(
    [
      { name: 'operator', everyMs: OPERATOR_RETRY_MS, run: configuration.follow },
      {
        name: 'configuration',
        everyMs: ASK_NEIGHBOURS_EVERY_MS,
        run: configuration.askNeighbours,
      },
      { name: 'lease', everyMs: LEASE_TICK_MS, run: keepControl },
      { name: 'relays', everyMs: RELAYS_EVERY_MS, run: refreshRelays },
      { name: 'refused', everyMs: TELL_REFUSED_EVERY_MS, run: refusedJobs.tell },
      { name: 'peers', everyMs: PEERS_MS, run: refreshPeers },
      { name: 'beat', everyMs: BEAT_MS, run: async () => openPeers.beat() },
      { name: 'probe', everyMs: PROBE_EVERY_MS, run: async () => table.probe() },
    ],
    (name, error) => {
      const detail = error instanceof Error ? (error.stack ?? error.message) : String(error);
      log.error('loop-failed', { name, detail });
    },
  );

  return {
    configuration: configuration.index,
    access: createAccess({ configuration, log, metrics }),
    intake,
    control,
    askOperators,
    isReady: () => !isDraining && configuration.index() !== undefined && intake.canTake(),
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
