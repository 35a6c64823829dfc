/** The endpoints that a term knows: seen, followed, and dropped once nothing can run there. */
import {
  blockUnansweredStarts,
  findEndpointsWithSuccessor,
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
import type { EndpointFeed, EndpointNews } from '../ports.js';

const REASONS: Readonly<Record<GoneCause, string>> = {
  'host-list': 'the list of hosts names no endpoint on its host',
  'host-taken': 'the list of hosts names another endpoint on its host',
  'host-ordered': 'its host goes through a move or maintenance',
  replaced: 'another endpoint has its address',
  restarted: 'a later life has its id',
  succeeded: 'its lease is over, and another endpoint answers from its host',
  unlisted: 'no longer listed',
};

/** A lease ends so much later by an endpoint's slow clock and a late answer. */
const LEASE_SLACK = 1.05;
const LEASE_MARGIN_MS = 500;

/** An endpoint whose host never shows again is forgotten after this time: some are lost for good. */
const AWAIT_END_MS = 60_000;

/** Why an endpoint counts as gone, and when that held. */
export type GoneEvidence = {
  readonly reason: GoneCause;
  /** When the list was asked for, or the other endpoint answered. */
  readonly atMs: number;
  /** What told of a later life; left out for other reasons, which name their source. */
  readonly toldBy?: 'endpoint-list' | 'answer';
};

export type EndpointRosterOptions = {
  readonly state: BatchState;
  readonly feed: EndpointFeed;
  readonly linkContext: Omit<LinkContext, 'onReplaced' | 'onRestarted'>;
  /** For how long what an earlier holder began may run on an endpoint that is not heard. */
  readonly inheritedLeasesMs: number;
  readonly isStopped: () => boolean;
};

export type EndpointRoster = {
  /** Reads who is there, for recovery; undefined without an answer. */
  readonly read: () => Promise<EndpointNews | undefined>;
  readonly take: (news: EndpointNews) => void;
  /** Reads and applies what has changed. */
  readonly follow: () => Promise<void>;
  readonly drop: (endpointId: EndpointId, end: GoneEvidence) => void;
  readonly perform: (effect: LinkEffect) => void;
  /** Marks the ends applied so far; the answer acknowledges them. */
  readonly mark: () => () => void;
  readonly close: () => void;
};

/**
 * Builds the roster of a term.
 *
 * @param options - The state, the list of endpoints, and what links need.
 * @returns The roster.
 */
export const createEndpointRoster = ({
  state,
  feed,
  linkContext,
  inheritedLeasesMs,
  isStopped,
}: EndpointRosterOptions): EndpointRoster => {
  const { log, nowMs, poke } = linkContext;
  const links = new Map<EndpointId, EndpointLink>();
  const listed = new Set<EndpointId>();
  /** A life that is over never comes back: late news of it is passed over. */
  const goneForGood = new Set<EndpointId>();
  /** Endpoints of which a life was seen. */
  const hadLives = new Set<InstanceId>();
  /** Until when questions to former lives of an endpoint may be carried out by the next. */
  const lateUntilMs = new Map<InstanceId, number>();
  /** An order by the clock of the life before names a time that is far ahead here: it is kept for as long as any. */
  const firstLeaseMs = (endpointId: EndpointId): number =>
    hadLives.has(instanceIdOf(endpointId))
      ? Math.max(inheritedLeasesMs, state.longestLeaseMs * LEASE_SLACK + LEASE_MARGIN_MS)
      : inheritedLeasesMs;

  const noteLate = (endpointId: EndpointId): void => {
    const instanceId = instanceIdOf(endpointId);
    const untilMs = links.get(endpointId)?.lateUntilMs() ?? 0;
    const latestMs = Math.max(untilMs, lateUntilMs.get(instanceId) ?? 0);
    if (latestMs > nowMs()) lateUntilMs.set(instanceId, latestMs);
    else lateUntilMs.delete(instanceId);
  };

  /**
   * Keeps a life from new work while a question to the one before may have it forget ends that nobody has read,
   * or keep what runs there for longer than is counted.
   */
  const withholdFromLate = (endpoint: EndpointState): void => {
    const untilMs = lateUntilMs.get(instanceIdOf(endpoint.endpointId)) ?? 0;
    if (untilMs <= nowMs()) return;
    const leaseEndsAtMs = untilMs + state.longestLeaseMs * LEASE_SLACK;
    change(endpoint, {
      withheldUntilMs: untilMs,
      withheldReason: 'late-acknowledgement',
      leaseEndsAtMs: Math.max(endpoint.leaseEndsAtMs, leaseEndsAtMs),
    });
  };

  const drop = (endpointId: EndpointId, { reason, atMs, toldBy }: GoneEvidence): void => {
    const endpoint = state.endpoints.get(endpointId);
    if (!endpoint) return;
    log.info('endpoint-gone', {
      endpoint: endpointId,
      pool: endpoint.pool,
      runs: endpoint.runs.size,
      reason: REASONS[reason],
      toldBy,
      knownForMs: Math.round(nowMs() - endpoint.seenAtMs),
      heardAgoMs: endpoint.hasReported ? Math.round(nowMs() - endpoint.reportedAtMs) : 'never',
      lastEnd: links.get(endpointId)?.takenNumber(),
      isCrash: isCrash({ endpoint, detail: reason }),
      ageMs: Math.round(nowMs() - atMs),
      soleForMs: remainingSoleHolderMs(state, nowMs()),
    });
    if (isCrash({ endpoint, detail: reason })) linkContext.metrics.count('endpoint_crashes');
    noteLate(endpointId);
    links.get(endpointId)?.close();
    links.delete(endpointId);
    goneForGood.add(endpointId);
    removeEndpoint(state, endpointId, { detail: reason, atMs, nowMs: nowMs() });
    poke();
  };

  const context: LinkContext = {
    ...linkContext,
    onReplaced: (endpointId) => drop(endpointId, { reason: 'replaced', atMs: nowMs() }),
    onRestarted: (endpointId) =>
      drop(endpointId, { reason: 'restarted', atMs: nowMs(), toldBy: 'answer' }),
  };

  const take = ({ seen, gone }: EndpointNews): void => {
    seen.forEach(({ endpointId }) => listed.add(endpointId));
    gone.forEach((endpointId) => listed.delete(endpointId));
    seen.forEach((sighting) => {
      const { endpointId, address, pool, dataCentre } = sighting;
      if (goneForGood.has(endpointId)) return;
      const isNew = !state.endpoints.has(endpointId);
      const lifeBefore = state.currentIncarnations.get(instanceIdOf(endpointId))?.endpointId;
      if (isNew && lifeBefore) {
        drop(lifeBefore, { reason: 'restarted', atMs: nowMs(), toldBy: 'endpoint-list' });
      }
      const endpoint = upsertEndpoint(state, sighting, nowMs());
      if (!isNew) return;
      endpoint.leaseEndsAtMs = nowMs() + firstLeaseMs(endpointId);
      withholdFromLate(endpoint);
      hadLives.add(instanceIdOf(endpointId));
      const link = createEndpointLink({ endpointId, address, dataCentre }, context);
      links.set(endpointId, link);
      blockUnansweredStarts(state, endpoint, nowMs());
      const withheldMs = Math.max(0, Math.round(endpoint.withheldUntilMs - nowMs())) || undefined;
      log.info('endpoint-seen', { endpoint: endpointId, pool, dataCentre, lifeBefore, withheldMs });
      link.watch();
    });
    gone.forEach((endpointId) => {
      // A silent entry may be of an endpoint that is only cut off: its lease decides.
      const endpoint = state.endpoints.get(endpointId);
      if (endpoint) endpoint.isDraining = true;
    });
    poke();
  };

  const dropSucceeded = (): void => {
    findEndpointsWithSuccessor(state).forEach((endpointId) =>
      drop(endpointId, { reason: 'succeeded', atMs: nowMs() }),
    );
  };

  /** What its end says of its tasks shows once its host is listed or has another endpoint. */
  const isAwaited = ({ expiredRuns, reportedAtMs }: EndpointState): boolean =>
    expiredRuns.length > 0 && nowMs() - reportedAtMs < AWAIT_END_MS;

  /** Endpoints that are no longer listed go once nothing can be running there. */
  const dropUnlisted = (askedAtMs: number): void => {
    Array.from(state.endpoints.values())
      .filter((endpoint) => !isAwaited(endpoint))
      .filter(({ endpointId, pool, runs }) => {
        // One that was never heard may run what an earlier holder began: its lease decides.
        const hasNotReported =
          state.pools.get(pool)?.unreportedInstances.has(instanceIdOf(endpointId)) ?? false;
        return !listed.has(endpointId) && runs.size === 0 && !hasNotReported;
      })
      .forEach(({ endpointId }) => {
        drop(endpointId, { reason: 'unlisted', atMs: askedAtMs });
        // It may only have been silent: it is added again if it is listed again.
        goneForGood.delete(endpointId);
      });
  };

  return {
    read: async () => (await feed.next(0)).unwrapOr(undefined),
    take,
    follow: async () => {
      const askedAtMs = nowMs();
      const news = await feed.next(0);
      if (news.isErr()) {
        log.warn('endpoint-list-failed', news.error);
        return;
      }
      if (isStopped()) return;
      take(news.value);
      dropSucceeded();
      dropUnlisted(askedAtMs);
    },
    drop,
    perform: (effect) => links.get(effect.endpointId)?.perform(effect),
    mark: () => {
      const marks = Array.from(links.values(), (link) => [link, link.takenNumber()] as const);
      return () => marks.forEach(([link, number]) => link.acknowledge(number));
    },
    close: () => links.forEach((link) => link.close()),
  };
};
