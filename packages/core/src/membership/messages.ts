/** The messages that entries send to one another. */
import type { ConfigurationDelta, ConfigurationSnapshot } from '../configuration/configuration.js';
import type { ServiceName } from '../shared/ids.js';
import type { Member } from './membership.js';

/** The first message on a link; it identifies the sender. */
export type HelloMessage = { readonly type: 'hello'; readonly member: Member };

/** Sent each second on each link: the sender is alive and has this configuration revision. */
export type HeartbeatMessage = {
  readonly type: 'heartbeat';
  readonly revision: number;
  /** Hash of the sender's live members; a receiver with another hash sends its whole list. */
  readonly membersHash: number;
  /** The services that the sender has endpoints for. */
  readonly ready: readonly ServiceName[];
};

/** Changed records of members. */
export type GossipMessage = { readonly type: 'gossip'; readonly members: readonly Member[] };

/** Accepted changes of the configuration. */
export type DeltasMessage = {
  readonly type: 'deltas';
  readonly deltas: readonly ConfigurationDelta[];
};

/** Requests the changes after the revision `have`. */
export type CatchUpMessage = { readonly type: 'catch-up'; readonly have: number };

/** A whole configuration, for an entry that is too far behind to be sent deltas. */
export type SnapshotMessage = {
  readonly type: 'snapshot';
  readonly snapshot: ConfigurationSnapshot;
};

/** A request to one entry. */
export type AskMessage = {
  readonly type: 'ask';
  readonly askId: number;
  readonly method: string;
  readonly payload: unknown;
};

/** The response to an `AskMessage` with the same `askId`. */
export type AnswerMessage = {
  readonly type: 'answer';
  readonly askId: number;
  readonly isOk: boolean;
  readonly payload: unknown;
};

export type MeshMessage =
  | HelloMessage
  | HeartbeatMessage
  | GossipMessage
  | DeltasMessage
  | CatchUpMessage
  | SnapshotMessage
  | AskMessage
  | AnswerMessage;
