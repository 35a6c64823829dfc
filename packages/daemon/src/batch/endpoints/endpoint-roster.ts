/** Maintains the endpoints that a control term knows: adds them, follows their list, and removes them once gone. */
import {
  blockUnansweredStarts,
  findEndpointsWithSuccessor,
  hasAnswered,
  instanceIdOf,
  isCrash,
  removeEndpoint,
  upsertEndpoint,
  remainingSoleHolderMs,
  type BatchState,
  type EndpointState,
  type GoneCause,
} from '@valvelatch/core/batch';
import { change } from '@valvelatch/core/shared/change';
import type { EndpointId, InstanceId } from '@valvelatch/core/shared/ids';

import { createEndpointLink, type EndpointLink, type LinkEffect } from './endpoint-link.js';
import type { LinkContext } from './link-context.js';
import type { EndpointFeed, EndpointChanges } from '../ports.js';

const REASONS: Readonly<Record<GoneCause, string>> = {
  'host-list': 'the list of hosts names no endpoint on its host',
  'host-taken': 'the list of hosts names another endpoint on its host',
  'host-ordered': 'its host goes through a move or maintenance',
  replaced: 'another endpoint has its address',
  restarted: 'a later incarnation has its id',
  succeeded: 'its lease is over, and another endpoint answers from its host',
  unlisted: 'no longer listed',
};

/**
 * A lease may end later than its nominal length by this factor and margin, because the endpoint's clock may be slow
 * and its response late.
 */
const LEASE_CLOCK_FACTOR = 1.05;
const LEASE_MARGIN_MS = 500;

/** An endpoint whose host never reappears is removed after this time, because some hosts are lost for good. */
const MAX_HOST_EVIDENCE_WAIT_MS = 60_000;

/** Why an endpoint is considered gone, and when that was established. */
export type GoneEvidence = {
  readonly cause: GoneCause;
  /** When the list was requested or the other endpoint responded, on the holder's monotonic clock in milliseconds. */
  readonly atMs: number;
  /** What showed a later incarnation; undefined for other reasons, which themselves name the source. */
  readonly toldBy?: 'endpoint-list' | 'answer';
};

export type EndpointRosterOptions = {
  readonly state: BatchState;
  readonly feed: EndpointFeed;
  readonly linkContext: Omit<LinkContext, 'onReplaced' | 'onRestarted'>;
  /**
   * For how long runs started by an earlier holder may continue on an endpoint that does not respond, in
   * milliseconds.
   */
  readonly inheritedLeasesMs: number;
  readonly isStopped: () => boolean;
};

export type EndpointRoster = {
  /** Reads the list of endpoints for recovery; undefined if the list could not be read. */
  readonly readList: () => Promise<EndpointChanges | undefined>;
  /** Applies changes of the list of endpoints. */
  readonly applyListChanges: (news: EndpointChanges) => void;
  /** Reads and applies the changes of the list, then removes the endpoints that are gone. */
  readonly refresh: () => Promise<void>;
  /** Removes an endpoint that is gone, and gives its runs up. */
  readonly removeGoneEndpoint: (endpointId: EndpointId, end: GoneEvidence) => void;
  /** Sends the order of an effect over the link of its endpoint. */
  readonly perform: (effect: LinkEffect) => void;
  /** Records which ended runs have been applied so far, and returns a function that marks them as stored. */
  readonly snapshotAppliedEnds: () => () => void;
  readonly close: () => void;
};

/**
 * Creates the roster of one control term.
 *
 * @param options - The state, the list of endpoints, and the dependencies of the links.
 * @returns The roster, without endpoints.
 */
export const createEndpointRoster = ({
  state,
  feed,
  linkContext,
  inheritedLeasesMs,
  isStopped,
}: EndpointRosterOptions): EndpointRoster => {
  const { log, nowMs, requestScheduling } = linkContext;
  const links = new Map<EndpointId, EndpointLink>();
  /** The endpoints that the list names. */
  const listed = new Set<EndpointId>();
  /**
   * Incarnations that have ended, whose late list entries are ignored. One that was only unlisted is not kept here,
   * because it may return.
   */
  const endedIncarnations = new Set<EndpointId>();
  /** Endpoints of which at least one incarnation was seen. */
  const knownInstances = new Set<InstanceId>();
  /** Until when list requests to former incarnations of an endpoint may reach the next one. */
  const lateRequestsUntilMs = new Map<InstanceId, number>();
  /**
   * Computes for how long runs may continue on an endpoint when it is added. An order whose lease end was computed on
   * the clock of the previous incarnation names a time that is far ahead on the new clock, so the new incarnation
   * keeps the run for the longest lease that an order may grant.
   */
  const computeInitialLeaseMs = (endpointId: EndpointId): number =>
    knownInstances.has(instanceIdOf(endpointId))
      ? Math.max(inheritedLeasesMs, state.longestLeaseMs * LEASE_CLOCK_FACTOR + LEASE_MARGIN_MS)
      : inheritedLeasesMs;

  /** Records until when list requests to an incarnation that is being removed may reach the next one. */
  const recordLateRequests = (endpointId: EndpointId): void => {
    const instanceId = instanceIdOf(endpointId);
    const untilMs = links.get(endpointId)?.lateArrivalUntilMs() ?? 0;
    const latestMs = Math.max(untilMs, lateRequestsUntilMs.get(instanceId) ?? 0);
    if (latestMs > nowMs()) lateRequestsUntilMs.set(instanceId, latestMs);
    else lateRequestsUntilMs.delete(instanceId);
  };

  /**
   * Withholds new work from an incarnation while a late list request to the previous one may reach it. Such a request
   * could make it delete ended runs that nobody has read, or extend the lease of its runs beyond the recorded end.
   */
  const withholdFromLateRequests = (endpoint: EndpointState): void => {
    const untilMs = lateRequestsUntilMs.get(instanceIdOf(endpoint.endpointId)) ?? 0;
    if (untilMs <= nowMs()) return;
    const leaseEndsAtMs = untilMs + state.longestLeaseMs * LEASE_CLOCK_FACTOR;
    change(endpoint, {
      withheldUntilMs: untilMs,
      withheldReason: 'late-acknowledgement',
      leaseEndsAtMs: Math.max(endpoint.leaseEndsAtMs, leaseEndsAtMs),
    });
  };

  const removeGoneEndpoint = (
    endpointId: EndpointId,
    { cause, atMs, toldBy }: GoneEvidence,
  ): void => {
    const endpoint = state.endpoints.get(endpointId);
    if (!endpoint) return;
    log.info('endpoint-gone', {
      endpoint: endpointId,
      pool: endpoint.pool,
      runs: endpoint.runs.size,
      reason: REASONS[cause],
      toldBy,
      knownForMs: Math.round(nowMs() - endpoint.seenAtMs),
      heardAgoMs: hasAnswered(endpoint) ? Math.round(nowMs() - endpoint.reportedAtMs) : 'never',
      lastEnd: links.get(endpointId)?.lastAppliedEnd(),
      isCrash: isCrash({ endpoint, detail: cause }),
      ageMs: Math.round(nowMs() - atMs),
      soleForMs: remainingSoleHolderMs(state, nowMs()),
    });
    if (isCrash({ endpoint, detail: cause })) linkContext.metrics.count('endpoint_crashes');
    recordLateRequests(endpointId);
    links.get(endpointId)?.close();
    links.delete(endpointId);
    endedIncarnations.add(endpointId);
    removeEndpoint(state, endpointId, { detail: cause, atMs, nowMs: nowMs() });
    requestScheduling();
  };

  const context: LinkContext = {
    ...linkContext,
    onReplaced: (endpointId) =>
      removeGoneEndpoint(endpointId, { cause: 'replaced', atMs: nowMs() }),
    onRestarted: (endpointId) =>
      removeGoneEndpoint(endpointId, { cause: 'restarted', atMs: nowMs(), toldBy: 'answer' }),
  };

  const applyListChanges = ({ changed, removed }: EndpointChanges): void => {
    changed.forEach(({ endpointId }) => listed.add(endpointId));
    removed.forEach((endpointId) => listed.delete(endpointId));
    changed.forEach((description) => {
      const { endpointId, address, pool, dataCentre } = description;
      if (endedIncarnations.has(endpointId)) return;
      const isNew = !state.endpoints.has(endpointId);
      const previousIncarnation = state.currentIncarnations.get(
        instanceIdOf(endpointId),
      )?.endpointId;
      if (isNew && previousIncarnation) {
        removeGoneEndpoint(previousIncarnation, {
          cause: 'restarted',
          atMs: nowMs(),
          toldBy: 'endpoint-list',
        });
      }
      const endpoint = upsertEndpoint(state, description, nowMs());
      if (!isNew) return;
      endpoint.leaseEndsAtMs = nowMs() + computeInitialLeaseMs(endpointId);
      withholdFromLateRequests(endpoint);
      knownInstances.add(instanceIdOf(endpointId));
      const link = createEndpointLink({ endpointId, address, dataCentre }, context);
      links.set(endpointId, link);
      blockUnansweredStarts(state, endpoint, nowMs());
      const withheldMs = Math.max(0, Math.round(endpoint.withheldUntilMs - nowMs())) || undefined;
      log.info('endpoint-seen', {
        endpoint: endpointId,
        pool,
        dataCentre,
        lifeBefore: previousIncarnation,
        withheldMs,
      });
      link.startPolling();
    });
    removed.forEach((endpointId) => {
      // The entry of an endpoint may vanish while the endpoint is only cut off. It is kept until its lease ends, but
      // gets no new work.
      const endpoint = state.endpoints.get(endpointId);
      if (endpoint) endpoint.isDraining = true;
    });
    requestScheduling();
  };

  /** Removes the endpoints on whose host another endpoint has responded after their lease ended. */
  const dropEndpointsWithSuccessor = (): void => {
    findEndpointsWithSuccessor(state).forEach((endpointId) =>
      removeGoneEndpoint(endpointId, { cause: 'succeeded', atMs: nowMs() }),
    );
  };

  /**
   * True while runs of the endpoint have expired and the cause is still unknown. Whether the endpoint crashed shows
   * only once its host is listed again or has another endpoint.
   */
  const isAwaitingHostEvidence = ({ expiredRuns, reportedAtMs }: EndpointState): boolean =>
    expiredRuns.length > 0 && nowMs() - reportedAtMs < MAX_HOST_EVIDENCE_WAIT_MS;

  /** Removes the endpoints that are no longer listed, once nothing can be running on them. */
  const dropUnlisted = (askedAtMs: number): void => {
    Array.from(state.endpoints.values())
      .filter((endpoint) => !isAwaitingHostEvidence(endpoint))
      .filter(({ endpointId, pool, runs, orphanRuns }) => {
        // An endpoint that never reported may still run tasks of an earlier holder, so it is kept until its lease
        // ends.
        const hasNotReported =
          state.pools.get(pool)?.unreportedInstances.has(instanceIdOf(endpointId)) ?? false;
        const hasRuns = runs.size + orphanRuns.size > 0;
        return !listed.has(endpointId) && !hasRuns && !hasNotReported;
      })
      .forEach(({ endpointId }) => {
        removeGoneEndpoint(endpointId, { cause: 'unlisted', atMs: askedAtMs });
        // The endpoint may only have been unreachable, so it is added again if it is listed again.
        endedIncarnations.delete(endpointId);
      });
  };

  return {
    readList: async () => (await feed.next(0)).unwrapOr(undefined),
    applyListChanges,
    refresh: async () => {
      const askedAtMs = nowMs();
      const news = await feed.next(0);
      if (news.isErr()) {
        log.warn('endpoint-list-failed', news.error);
        return;
      }
      if (isStopped()) return;
      applyListChanges(news.value);
      dropEndpointsWithSuccessor();
      dropUnlisted(askedAtMs);
    },
    removeGoneEndpoint,
    perform: (effect) => links.get(effect.endpointId)?.perform(effect),
    snapshotAppliedEnds: () => {
      const marks = Array.from(links.values(), (link) => [link, link.lastAppliedEnd()] as const);
      return () => marks.forEach(([link, number]) => link.recordStored(number));
    },
    close: () => links.forEach((link) => link.close()),
  };
};
