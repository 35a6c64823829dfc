/** The messages by which entries ask each other for a newer configuration. */
import type { EvacuationMessage } from './evacuation-tracker.js';

/** The mesh method by which entries ask each other for the configuration. */
export const CONFIGURATION_METHOD = 'configuration';

/** What an entry sends to a neighbour to ask for a newer configuration. */
export type NeighbourQuestion = {
  /** The version of the configuration in force at the entry that asks; 0 without one. */
  readonly version: number;
  /** The evacuation view of the entry that asks. */
  readonly evacuations: EvacuationMessage;
};

/** The answer of a neighbour. */
export type NeighbourAnswer = {
  /** The compressed configuration of the neighbour; null if it is not newer than the version in the question. */
  readonly packed: Uint8Array | null;
  /** False if the neighbour's own feed is overdue, so that another entry may have a newer configuration. */
  readonly isUpToDate: boolean;
  /** The neighbour's evacuation view; undefined if it runs an earlier release. */
  readonly evacuations?: EvacuationMessage;
};
