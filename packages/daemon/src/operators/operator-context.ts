/** What the operators' handlers depend on. */
import type { DecisionStore, Member, WithheldAction } from '@valvelatch/core';
import type { TableClient } from '@valvelatch/platform';

import type { ConfigSync } from '../config-sync/config-sync.js';

/** How one entry stands, for a status. */
export type EntryStatus = {
  readonly entryId: string;
  readonly dataCentre: string;
  readonly revision: number;
  readonly seat: number | null;
  readonly controls: readonly string[];
  readonly endpoints: Readonly<Record<string, number>>;
};

/** What the handlers depend on. */
export type OperatorContext = {
  readonly table: TableClient;
  readonly configSync: ConfigSync;
  readonly decisions: DecisionStore;
  readonly withheld: () => readonly WithheldAction[];
  readonly ownStatus: () => EntryStatus;
  readonly members: () => readonly Member[];
  /** Asks another entry; rejects where it cannot be reached. */
  readonly ask: (member: Member, method: string, payload: unknown, ms: number) => Promise<unknown>;
  readonly self: string;
};

/**
 * Lists the other entries.
 *
 * @param context - The context.
 * @returns All members but this entry.
 */
export const otherMembers = ({ members, self }: OperatorContext): readonly Member[] =>
  members().filter(({ entryId }) => entryId !== self);

/** How long another entry may take to answer, in milliseconds. */
export const ASK_MS = 2000;
