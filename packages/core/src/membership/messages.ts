/** The messages that entries send to one another. */
import type { ConfigurationDelta, ConfigurationSnapshot } from '../configuration/configuration.js';
import type { ServiceName } from '../shared/ids.js';
import type { Member } from './membership.js';

/** The first message on a link: who speaks. */
export type HelloMessage = { readonly type: 'hello'; readonly member: Member };

/** Sent each second on each link: the sender is alive and at this revision. */
export type HeartbeatMessage = {
  readonly type: 'heartbeat';
  readonly revision: number;
  /** Sums up whom the sender takes to be alive; where it differs, the whole list is sent. */
  readonly membersHash: number;
  /** The services that the sender has endpoints for. */
  readonly ready: readonly ServiceName[];
};

/** News of members. */
export type GossipMessage = { readonly type: 'gossip'; readonly members: readonly Member[] };

/** Accepted changes of configuration. */
export type DeltasMessage = {
  readonly type: 'deltas';
  readonly deltas: readonly ConfigurationDelta[];
};

/** Asks for what comes after a revision. */
export type CatchUpMessage = { readonly type: 'catch-up'; readonly have: number };

/** A whole configuration, for one that is too far behind for deltas. */
export type SnapshotMessage = {
  readonly type: 'snapshot';
  readonly snapshot: ConfigurationSnapshot;
};

/** A question to one entry. */
export type AskMessage = {
  readonly type: 'ask';
  readonly askId: number;
  readonly method: string;
  readonly payload: unknown;
};

/** The answer to a question. */
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
