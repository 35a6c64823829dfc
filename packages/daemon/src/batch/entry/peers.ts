/** The other entries: found in the table, asked over the mesh. Nothing safe depends on them. */
import type { Member } from '@valvelatch/core/membership/membership';
import { brand, type DataCentreId, type EntryId } from '@valvelatch/core/shared/ids';
import { createMesh, type Mesh } from '@valvelatch/mesh';

import type { Log } from '../../observe/log.js';
import { batchKey } from '../keys.js';
import type { BatchTable } from '../ports.js';
import { strengthOf } from '../control/standing.js';

/** An entry's row. */
type EntryRow = {
  readonly meshUrl: string;
  readonly dataCentre: DataCentreId;
  readonly startedAtMs: number;
  /** How many cores the entry may use. */
  readonly cores: number;
  /** What its link carries each way; not in rows of entries that do not know it. */
  readonly linkBytesPerS?: number;
};

/** Of an entry whose row has not been read. */
const UNKNOWN_DATA_CENTRE = brand<DataCentreId>('');

/** Another entry. */
export type PeerView = {
  readonly entryId: EntryId;
  readonly dataCentre: DataCentreId;
  /** How much it can carry, by `strengthOf`. */
  readonly strength: number;
};

export type PeersOptions = {
  readonly cores: number;
  readonly linkBytesPerS: number;
  readonly self: EntryId;
  readonly dataCentre: DataCentreId;
  readonly host: string;
  readonly port: number;
  readonly meshKey: string;
  readonly log: Log;
  /** Answers questions of other entries, by method. */
  readonly answer: (method: string, payload: unknown) => Promise<unknown>;
  /** Told what the mesh puts on the link. */
  readonly onFrame?: (direction: 'sent' | 'received', bytes: number) => void;
};

/** Asks another entry by method; rejects without an answer in time. */
export type AskPeer = (
  entryId: EntryId,
  method: string,
  payload: unknown,
  ms: number,
) => Promise<unknown>;

export type Peers = {
  /** Writes this entry's own row and reads the others'; to be called now and then. */
  readonly refresh: (table: Pick<BatchTable, 'scan' | 'transact'>) => Promise<void>;
  readonly ask: AskPeer;
  /** Keeps a link open to an entry that is asked often. */
  readonly keepLink: (entryId: EntryId) => void;
  /** Other entries, those of the own data centre first. */
  readonly others: () => readonly EntryId[];
  /** How strong each other entry is; undefined until they were read. */
  readonly strengths: () => ReadonlyMap<EntryId, number> | undefined;
  readonly members: () => readonly PeerView[];
  readonly knows: (entryId: EntryId) => boolean;
  /** How long a linked entry has been silent; each says something every second. */
  readonly silentForMs: (entryId: EntryId) => number;
  readonly beat: () => void;
  readonly close: () => Promise<void>;
};

/** Pause between two words on each link. */
export const BEAT_MS = 500;
/**
 * Connections may go silent for good while new ones work. Three words missed in a row end a link;
 * it is dialled again when its peer is next asked. A slowed entry misses one or two.
 */
const LINK_SILENT_MS = 3 * BEAT_MS + 100;

const withTimeout = async <Value>(promise: Promise<Value>, ms: number): Promise<Value> => {
  let timer: NodeJS.Timeout | undefined;
  const late = new Promise<never>((_, reject) => {
    timer = setTimeout(() => reject(new Error(`no answer in ${ms} ms`)), ms);
  });
  try {
    return await Promise.race([promise, late]);
  } finally {
    clearTimeout(timer);
  }
};

/**
 * Opens the mesh.
 *
 * @param options - Where to listen and how questions are answered.
 * @returns The peers.
 * @throws Where the address cannot be listened on.
 */
export const createPeers = async ({
  self,
  cores,
  linkBytesPerS,
  dataCentre,
  host,
  port,
  meshKey,
  log,
  answer,
  onFrame = () => undefined,
}: PeersOptions): Promise<Peers> => {
  const members = new Map<EntryId, Member>();
  let strengths: ReadonlyMap<EntryId, number> | undefined;
  const startedAtMs = Date.now();
  let isRegistered = false;

  const memberOf = (entryId: EntryId, { meshUrl, ...row }: EntryRow): Member => ({
    entryId,
    dataCentre: row.dataCentre,
    incarnation: row.startedAtMs,
    status: 'alive',
    meshUrl,
    callersUrl: '',
    operatorsUrl: '',
  });

  const ownRow: EntryRow = {
    meshUrl: `ws://${host}:${port}`,
    dataCentre,
    startedAtMs,
    cores,
    linkBytesPerS,
  };

  const mesh: Mesh = await createMesh({
    host,
    port,
    key: meshKey,
    self: () => memberOf(self, ownRow),
    silentAfterMs: LINK_SILENT_MS,
    handlers: {
      onMessage: () => undefined,
      onPeer: (member) => {
        if (member.entryId !== self) members.set(member.entryId, member);
      },
      onSilent: (peer) => log.info('peer-silent', { peer }),
      answer,
      onFrame,
    },
  });

  const register = async (table: Pick<BatchTable, 'transact'>): Promise<void> => {
    const outcome = await table.transact({
      checks: [],
      writes: [{ key: batchKey.entry(self), value: ownRow }],
    });
    isRegistered = outcome.isOk() && outcome.value.kind === 'committed';
  };

  return {
    refresh: async (table) => {
      if (!isRegistered) await register(table);
      const rows = await table.scan('entry/');
      if (rows.isErr()) {
        log.warn('entry-list-failed', rows.error);
        return;
      }
      const others = rows.value
        .map(
          ({ key, value }) => [key.slice('entry/'.length) as EntryId, value as EntryRow] as const,
        )
        .filter(([entryId]) => entryId !== self);
      others.forEach(([entryId, row]) => members.set(entryId, memberOf(entryId, row)));
      strengths = new Map(
        others.map(([entryId, row]) => [
          entryId,
          strengthOf(row.cores, row.linkBytesPerS ?? Infinity),
        ]),
      );
    },
    ask: async (entryId, method, payload, ms) => {
      const member = members.get(entryId);
      if (!member) throw new Error(`entry ${entryId} is not known`);
      return withTimeout(mesh.ask(member, method, payload, ms), ms);
    },
    keepLink: (entryId) => {
      const member = members.get(entryId);
      if (member && !mesh.linkedPeers().includes(entryId)) mesh.dial(member.meshUrl);
    },
    others: () =>
      Array.from(members.values())
        .sort(
          (left, right) =>
            Number(right.dataCentre === dataCentre) - Number(left.dataCentre === dataCentre),
        )
        .map(({ entryId }) => entryId),
    strengths: () => strengths,
    members: () =>
      Array.from(strengths ?? [], ([entryId, strength]) => ({
        entryId,
        dataCentre: members.get(entryId)?.dataCentre ?? UNKNOWN_DATA_CENTRE,
        strength,
      })),
    knows: (entryId) => members.has(entryId),
    silentForMs: (entryId) => performance.now() - mesh.heardAtMs(entryId),
    beat: () => {
      mesh.beat({ type: 'heartbeat', revision: 0, membersHash: 0, ready: [] });
      mesh.sweep();
    },
    close: mesh.close,
  };
};
