/**
 * What batch work needs from a platform. An adapter implements these ports and translates; it
 * decides nothing. All times are milliseconds.
 */
import type {
  AdviceAnswer,
  AdviceQuestion,
  BatchConfiguration,
  EndpointClock,
  EndpointReport,
  EndpointDescription,
  EvacuationUpdate,
  FeedScope,
  HostOrderOutcome,
  ListedHost,
  LinkUsage,
  ListOrder,
  OrderError,
  PaceOrder,
  StartOrder,
  StopOrder,
  MaintenanceRequest,
} from '@valvelatch/core/batch';
import type {
  DataCentreId,
  EndpointId,
  EntryId,
  HostId,
  PoolName,
} from '@valvelatch/core/shared/ids';
import type { TableRow } from '@valvelatch/core/rows/transaction';
import type { PlatformError, TableClient } from '@valvelatch/platform';
import type { Result } from 'ts-results-es';

/** A row that changed; a value of null says that it was deleted. */
export type ChangedRow = TableRow;

/** Changes of the rows of one kind since the last call. */
export type TableFeed = {
  /**
   * Waits for changes. The first call gives all rows. Where the table has forgotten what came
   * since, all rows are read again.
   *
   * @param waitMs - How long to wait if nothing has changed.
   * @returns The rows that changed, in order.
   */
  readonly next: (waitMs: number) => Promise<Result<readonly ChangedRow[], PlatformError>>;
};

/** The product's own rows. */
export type BatchTable = Pick<TableClient, 'read' | 'scan' | 'transact'> & {
  readonly feed: (kind: string) => TableFeed;
};

/** How an answer of a feed came, for logs and metrics. */
export type FeedReading = {
  readonly scope: FeedScope;
  /** How many rows of the answer a later row of the same answer replaces. */
  readonly replaced: number;
  readonly bytes: number;
  /** From its first byte to its last. */
  readonly arrivingMs: number;
};

/** What a reading of the operator's rows says of evacuations. */
export type EvacuationNews = EvacuationUpdate & {
  /** True if the reading contains every change up to its answer: not a full one, and not cut off at its end. */
  readonly isCurrent: boolean;
};

/** What the operator has ordered. */
export type OperatorNews = {
  readonly configuration?: BatchConfiguration;
  /** What was passed over in the configuration, for people. */
  readonly faults?: readonly string[];
  readonly waves: readonly MaintenanceRequest[];
  /** Left out by a platform on which data centres cannot be evacuated. */
  readonly evacuations?: EvacuationNews;
  readonly reading: FeedReading;
};

/** The operator's orders as they come. */
export type OperatorFeed = {
  readonly next: (waitMs: number) => Promise<Result<OperatorNews, PlatformError>>;
};

/** Endpoints as they come, change and go. */
export type EndpointNews = {
  readonly seen: readonly EndpointDescription[];
  readonly gone: readonly EndpointId[];
};

export type EndpointFeed = {
  readonly next: (waitMs: number) => Promise<Result<EndpointNews, PlatformError>>;
};

/** Which endpoint an order is meant for. */
export type OrderTarget = {
  readonly endpointId: EndpointId;
  readonly address: string;
  readonly dataCentre: DataCentreId;
};

/**
 * Orders to endpoints. An order without an answer within its time-out may be carried out later; the
 * time-out of a list comes on top of the time that its answer may wait.
 */
export type EndpointOrders = {
  readonly list: (
    target: OrderTarget,
    order: ListOrder,
    timeoutMs: number,
  ) => Promise<
    Result<EndpointClock & Pick<EndpointReport, 'running' | 'ended' | 'hasMoreEnds'>, OrderError>
  >;
  readonly start: (
    target: OrderTarget,
    order: StartOrder,
    timeoutMs: number,
  ) => Promise<Result<EndpointClock, OrderError>>;
  readonly stop: (
    target: OrderTarget,
    order: StopOrder,
    timeoutMs: number,
  ) => Promise<Result<EndpointClock, OrderError>>;
  readonly pace: (
    target: OrderTarget,
    order: PaceOrder,
  ) => Promise<Result<EndpointClock, OrderError>>;
  readonly forget: (target: OrderTarget) => void;
};

/** The service that knows which endpoints may run a step of a queue that needs advice. */
export type AdvicePort = {
  /**
   * Asks about some endpoints.
   *
   * @param question - The step and the endpoints, 100 at most.
   * @returns Those that may run it; `unreachable` where the service was too busy.
   */
  readonly ask: (question: AdviceQuestion) => Promise<Result<AdviceAnswer, PlatformError>>;
};

/** Who orders, for orders to hosts. */
export type HostOrderer = { readonly holder: EntryId; readonly fence: number };

/** What an order to a host was answered, and in which words, for the log. */
export type HostOrderAnswer = { readonly outcome: HostOrderOutcome; readonly detail: string };

/** The platform's hosts. */
export type HostPort = {
  readonly list: () => Promise<Result<readonly ListedHost[], PlatformError>>;
  readonly move: (
    by: HostOrderer,
    order: { readonly hostId: HostId; readonly toPool: PoolName },
  ) => Promise<HostOrderAnswer>;
  readonly maintain: (
    by: HostOrderer,
    order: { readonly hostId: HostId; readonly waveNumber: number },
  ) => Promise<HostOrderAnswer>;
  /** Tells the operator how a wave stands. */
  readonly reportWave: (
    waveNumber: number,
    state: 'running' | 'completed',
  ) => Promise<Result<unknown, PlatformError>>;
};

/** Bounds of the platform that decisions depend on. */
export type PlatformBounds = {
  /** How long a host is down for maintenance. */
  readonly maintenanceMs: number;
  /** For how long clients may ask for a job that has ended. */
  readonly answerableMs: number;
  /** For how long an endpoint may keep what runs there by one order. */
  readonly longestLeaseMs: number;
  /** Holders that order hosts one after the other keep this distance. */
  readonly holderTurnMs: number;
  /**
   * How long after an evacuation was ordered the last task may begin there. Left out where the deployment does not
   * bound it: evacuations are obeyed as they are heard of.
   */
  readonly evacuateMs?: number;
};

/** The whole platform. */
export type BatchPlatform = {
  readonly table: BatchTable;
  readonly operator: OperatorFeed;
  readonly endpoints: () => EndpointFeed;
  readonly orders: EndpointOrders;
  readonly hosts: HostPort;
  readonly advice: AdvicePort;
  /** What this entry's calls have put on its link. */
  readonly linkUse: () => LinkUsage;
  /** Tells what the mesh between entries puts on it. */
  readonly noteMeshFrame: (direction: 'sent' | 'received', bytes: number) => void;
  readonly bounds: () => PlatformBounds;
  readonly close: () => void;
};
