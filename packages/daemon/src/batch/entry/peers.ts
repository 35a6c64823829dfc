/** The other entries: listed in the table, asked over the mesh. Correctness does not depend on this list. */
import type { Member } from '@valvelatch/core/membership/membership';
import { brand, type DataCentreId, type EntryId } from '@valvelatch/core/shared/ids';
import { createMesh, type Mesh } from '@valvelatch/mesh';

import type { Log } from '../../observe/log.js';
import { batchKey } from '../keys.js';
import type { BatchTable } from '../ports.js';
import { computeHolderCapacity } from '../control/holder-preference.js';

/** The stored row of an entry. */
type EntryRow = {
  readonly meshUrl: string;
  readonly dataCentre: DataCentreId;
  /** When the entry's process started, by the wall clock. */
  readonly startedAtMs: number;
  /** How many cores the entry may use. */
  readonly cores: number;
  /** The capacity of its network link in each direction; undefined in rows of entries that do not know it. */
  readonly linkBytesPerS?: number;
};

/** Unreadable rows of further entries are not logged. */
const MAX_LOGGED_ENTRIES = 50;
const MAX_LOGGED_KEY_LENGTH = 80;
const MESH_URL = /^ws:\/\/[A-Za-z0-9.-]{1,253}:\d{1,5}$/;

/**
 * Tells whether the value of a row is that of an entry that can be reached.
 *
 * @param value - The value.
 * @returns True if it is.
 */
export const isEntryRow = (value: unknown): value is EntryRow => {
  if (typeof value !== 'object' || value === null) return false;
  const { meshUrl, dataCentre, startedAtMs, cores, linkBytesPerS } = value as Partial<EntryRow>;
  return (
    typeof meshUrl === 'string' &&
    MESH_URL.test(meshUrl) &&
    URL.canParse(meshUrl) &&
    typeof dataCentre === 'string' &&
    Number.isFinite(startedAtMs) &&
    Number.isFinite(cores) &&
    (linkBytesPerS === undefined || linkBytesPerS === null || Number.isFinite(linkBytesPerS))
  );
};

/** The data centre of an entry whose row has not been read. */
const UNKNOWN_DATA_CENTRE = brand<DataCentreId>('');

/** Another entry, as seen by this one. */
export type PeerView = {
  readonly entryId: EntryId;
  readonly dataCentre: DataCentreId;
  /** How much of a holder's work it can do, in cores: see `computeHolderCapacity`. */
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
  /** Answers questions of other entries by method. */
  readonly answer: (method: string, payload: unknown) => Promise<unknown>;
  /** Called with the size of each frame that the mesh sends or receives. */
  readonly onFrame?: (direction: 'sent' | 'received', bytes: number) => void;
};

/** Asks another entry by method; rejects if it does not answer within `ms`. */
export type AskPeer = (
  entryId: EntryId,
  method: string,
  payload: unknown,
  ms: number,
) => Promise<unknown>;

export type Peers = {
  /** Writes this entry's own row if that is still to be done, and reads the others' rows. Called at intervals. */
  readonly refresh: (table: Pick<BatchTable, 'scan' | 'transact'>) => Promise<void>;
  readonly ask: AskPeer;
  /** Opens a link to an entry that is asked often, if there is none. */
  readonly ensureLink: (entryId: EntryId) => void;
  /** The other entries, those in the same data centre first. */
  readonly others: () => readonly EntryId[];
  /** The strength of each other entry; undefined until their rows have been read. */
  readonly strengths: () => ReadonlyMap<EntryId, number> | undefined;
  /** The other entries with a row in the last read; empty before the first. */
  readonly members: () => readonly PeerView[];
  /** True if the entry can be asked. */
  readonly has: (entryId: EntryId) => boolean;
  /** The time since a linked entry was last heard; Infinity if it never was. Entries send heartbeats over each link. */
  readonly silentForMs: (entryId: EntryId) => number;
  /** Sends a heartbeat over each link and closes links that have been silent for too long. */
  readonly sendHeartbeats: () => void;
  readonly close: () => Promise<void>;
};

/** The interval between heartbeats on each link. */
export const HEARTBEAT_INTERVAL_MS = 500;
/**
 * A link that has been silent for this time is closed, and opened again when its peer is next asked, since a
 * connection may stay silent for good while new ones work. It allows for three missed heartbeats, because a slow
 * entry may miss one or two in a row.
 */
const LINK_SILENCE_TIMEOUT_MS = 3 * HEARTBEAT_INTERVAL_MS + 100;

const withTimeout = async <Value>(promise: Promise<Value>, ms: number): Promise<Value> => {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<never>((_, reject) => {
    timer = setTimeout(() => reject(new Error(`no answer in ${ms} ms`)), ms);
  });
  try {
    return await Promise.race([promise, timeout]);
  } finally {
    clearTimeout(timer);
  }
};

/**
 * Opens the mesh.
 *
 * @param options - The address to listen on, and how questions are answered.
 * @returns The peers.
 * @throws If it cannot listen on the address.
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

  const toMember = (entryId: EntryId, { meshUrl, ...row }: EntryRow): Member => ({
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
    self: () => toMember(self, ownRow),
    silentAfterMs: LINK_SILENCE_TIMEOUT_MS,
    handlers: {
      onMessage: () => undefined,
      onPeerHello: (member) => {
        if (member.entryId !== self) members.set(member.entryId, member);
      },
      onPeerSilent: (peer) => log.info('peer-silent', { peer }),
      answer,
      onFrame,
    },
  });

  const unreadableEntries = new Set<EntryId>();

  const logUnreadable = (entryId: EntryId): void => {
    if (unreadableEntries.has(entryId) || unreadableEntries.size >= MAX_LOGGED_ENTRIES) return;
    unreadableEntries.add(entryId);
    log.error('own-row-unreadable', {
      key: batchKey.entry(entryId).slice(0, MAX_LOGGED_KEY_LENGTH),
    });
  };

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
        .flatMap(({ key, value }) => {
          const entryId = key.slice('entry/'.length) as EntryId;
          if (isEntryRow(value)) return [[entryId, value] as const];
          logUnreadable(entryId);
          return [];
        })
        .filter(([entryId]) => entryId !== self);
      others.forEach(([entryId, row]) => members.set(entryId, toMember(entryId, row)));
      strengths = new Map(
        others.map(([entryId, row]) => [
          entryId,
          computeHolderCapacity(row.cores, row.linkBytesPerS ?? Infinity),
        ]),
      );
    },
    ask: async (entryId, method, payload, ms) => {
      const member = members.get(entryId);
      if (!member) throw new Error(`entry ${entryId} is not known`);
      return withTimeout(mesh.ask(member, method, payload, ms), ms);
    },
    ensureLink: (entryId) => {
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
    has: (entryId) => members.has(entryId),
    silentForMs: (entryId) => performance.now() - mesh.lastReceivedAtMs(entryId),
    sendHeartbeats: () => {
      mesh.sendHeartbeat({ type: 'heartbeat', revision: 0, membersHash: 0, ready: [] });
      mesh.closeSilentLinks();
    },
    close: mesh.close,
  };
};
