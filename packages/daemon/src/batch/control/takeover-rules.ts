/** When an entry that is willing to hold control may acquire the lease, and whether another entry goes first. */
import type { EntryId } from '@valvelatch/core/shared/ids';

import type { LeaseManager } from '../../leases/lease-manager.js';
import {
  CONTROL_LEASE_MARGIN_MS,
  CONTROL_LEASE_MS,
  EARLY_TAKEOVER_MS,
} from './control-lease-timing.js';
import { HOLDER_SILENCE_LIMIT_MS } from './holder-client.js';
import { createYieldTimer, type HolderPreference } from './holder-preference.js';

export type TakeoverRulesOptions = {
  readonly self: EntryId;
  /** The control lease. */
  readonly lease: Pick<LeaseManager, 'lastRow' | 'epoch' | 'unchangedForMs'>;
  readonly holderPreference: Pick<HolderPreference, 'isPreferred'>;
  /** For how long another entry has been silent on the mesh, in milliseconds; Infinity without a link to it. */
  readonly peerSilentForMs: (entryId: EntryId) => number;
  /** True if the holder under a fence has said that it sends no more orders. */
  readonly hasResigned: (fence: number) => boolean;
  readonly nowMs: () => number;
};

export type TakeoverRules = {
  /** True if this entry may acquire the lease once that is free. Each call observes for how long it has been free. */
  readonly mayAcquire: () => boolean;
  /**
   * How long the row of another holder must be unchanged until the lease is free, in milliseconds; undefined for the
   * whole duration and the margin.
   */
  readonly freeAfterMs: () => number | undefined;
};

/**
 * Creates the takeover rules of one entry.
 *
 * @param options - The entry, the control lease, and what is known of its holder.
 * @returns The rules.
 */
export const createTakeoverRules = ({
  self,
  lease,
  holderPreference,
  peerSilentForMs,
  hasResigned,
  nowMs,
}: TakeoverRulesOptions): TakeoverRules => {
  const recordLeaseObservation = createYieldTimer();

  /** True if another entry holds the lease and is silent or has resigned: it may be taken after `EARLY_TAKEOVER_MS`. */
  const isHolderSuspect = (): boolean => {
    const holder = lease.lastRow()?.holder ?? null;
    if (holder === null || holder === self) return false;
    return peerSilentForMs(holder) > HOLDER_SILENCE_LIMIT_MS || hasResigned(lease.epoch());
  };

  /**
   * A preferred entry need not leave the lease to others if nobody holds it, or if its holder is this entry or is
   * suspect. A holder that is heard on the mesh has priority: after an outage of the table it renews its lapsed lease,
   * and its state of tasks, run times and demand is not lost.
   */
  const mayTakeAtOnce = (): boolean => {
    const holder = lease.lastRow()?.holder ?? null;
    return (
      holderPreference.isPreferred() && (holder === null || holder === self || isHolderSuspect())
    );
  };

  /** True if the lease has been free for long enough that every entry with priority could have taken it. */
  const mayTakeAfterYielding = (): boolean => {
    const isHeld = (lease.lastRow()?.holder ?? null) !== null;
    const takeoverMs = isHolderSuspect()
      ? EARLY_TAKEOVER_MS
      : CONTROL_LEASE_MS + CONTROL_LEASE_MARGIN_MS;
    const freeAfterMs = isHeld ? takeoverMs : 0;
    return recordLeaseObservation(lease.unchangedForMs() >= freeAfterMs, nowMs());
  };

  return {
    mayAcquire: () => mayTakeAtOnce() || mayTakeAfterYielding(),
    freeAfterMs: () => (isHolderSuspect() ? EARLY_TAKEOVER_MS : undefined),
  };
};
