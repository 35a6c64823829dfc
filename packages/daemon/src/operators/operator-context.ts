/** The dependencies of the operators' handlers. */
import type { DecisionStore, Member, WithheldAction } from '@valvelatch/core';
import type { TableClient } from '@valvelatch/platform';

import type { ConfigSync } from '../config-sync/config-sync.js';

/** The status of one entry. `seat` is null while the entry holds no seat. */
export type EntryStatus = {
  readonly entryId: string;
  readonly dataCentre: string;
  readonly revision: number;
  readonly seat: number | null;
  readonly controls: readonly string[];
  readonly endpoints: Readonly<Record<string, number>>;
};

/** The dependencies of the handlers. `entryId` is the ID of this entry. */
export type OperatorContext = {
  readonly table: TableClient;
  readonly configSync: ConfigSync;
  readonly decisions: DecisionStore;
  readonly listWithheldActions: () => readonly WithheldAction[];
  readonly ownStatus: () => EntryStatus;
  readonly members: () => readonly Member[];
  /** Sends a request to another entry; rejects if it doesn't respond within `ms` milliseconds. */
  readonly request: (
    member: Member,
    method: string,
    payload: unknown,
    ms: number,
  ) => Promise<unknown>;
  readonly entryId: string;
};

/**
 * Lists the other entries.
 *
 * @param context - The context.
 * @returns All members except this entry.
 */
export const otherMembers = ({ members, entryId: self }: OperatorContext): readonly Member[] =>
  members().filter(({ entryId }) => entryId !== self);

/** Timeout of a request to another entry, in milliseconds. */
export const ENTRY_REQUEST_TIMEOUT_MS = 2000;
