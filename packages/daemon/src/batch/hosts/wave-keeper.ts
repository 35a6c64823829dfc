/** The waves of a term: their rows, reports to the operator, and why hosts wait. */
import {
  createMaintenanceWave,
  isWaveComplete,
  type KnownHosts,
  type MaintenanceHost,
  type MaintenanceRequest,
  type MaintenanceWave,
} from '@valvelatch/core/batch';
import type { RowCheck } from '@valvelatch/core/rows/transaction';
import type { HostId } from '@valvelatch/core/shared/ids';

import type { Log, LogFields } from '../../observe/log.js';
import { ageText } from './host-roster.js';
import { batchKey } from '../keys.js';
import type { BatchPlatform } from '../ports.js';

/** A wave as this entry learned of it. */
export type KnownWave = {
  readonly order: MaintenanceRequest;
  /** By this entry's monotonic clock. */
  readonly seenAtMs: number;
};

/** `takenAtTodayMs` is by the time of day: entries share no other clock. */
type WaveRow = { readonly done: readonly HostId[]; readonly takenAtTodayMs?: number };

export type WaveKeeperOptions = {
  readonly platform: Pick<BatchPlatform, 'table' | 'hosts'>;
  /** Writes depend on this row: a deposed holder writes nothing. */
  readonly fenceCheck: RowCheck;
  readonly sight: () => KnownHosts;
  readonly log: Log;
  readonly nowMs: () => number;
  readonly todayMs: () => number;
};

export type WaveKeeper = {
  readonly take: (known: readonly KnownWave[]) => void;
  /** Reads and writes how waves stand. */
  readonly follow: () => Promise<void>;
  readonly waves: () => readonly MaintenanceWave[];
  /** True if each host of a wave has been down and is back, or has left for good. */
  readonly isComplete: (wave: MaintenanceWave) => boolean;
  /** Logs what hosts wait for, once for each reason, and once which wave cannot be in time. */
  readonly noteReasons: () => void;
};

/**
 * Builds the keeper of a term.
 *
 * @param options - The rows, and what is known of hosts.
 * @returns The keeper, without waves at first.
 */
export const createWaveKeeper = ({
  platform,
  fenceCheck,
  sight,
  log,
  nowMs,
  todayMs,
}: WaveKeeperOptions): WaveKeeper => {
  const waves = new Map<number, MaintenanceWave>();
  const waiting = new Map<number, KnownWave>();
  const reported = new Map<number, 'running' | 'completed'>();
  const savedDone = new Map<number, number>();
  const loggedReasons = new Map<string, string>();
  const expectedLate = new Set<number>();

  const isComplete = (wave: MaintenanceWave): boolean => isWaveComplete(sight(), wave);

  /** When the wave was ordered: as this entry saw it, or earlier by the row of the first holder. */
  const orderedAtMs = ({ order, seenAtMs }: KnownWave, row: WaveRow | undefined): number => {
    if (row?.takenAtTodayMs === undefined) return seenAtMs;
    // The time of day jumps on some hosts: what it says is believed within the wave's own time.
    const ageMs = Math.max(0, Math.min(order.withinMs, todayMs() - row.takenAtTodayMs));
    return Math.min(seenAtMs, nowMs() - ageMs);
  };

  const open = async (known: KnownWave): Promise<void> => {
    const { order } = known;
    const rows = await platform.table.read([batchKey.wave(order.waveNumber)]);
    if (rows.isErr()) return;
    const row = (rows.value[0]?.value ?? undefined) as WaveRow | undefined;
    waiting.delete(order.waveNumber);
    const wave = createMaintenanceWave(order, row?.done ?? [], orderedAtMs(known, row));
    waves.set(order.waveNumber, wave);
    log.info('wave-taken', {
      wave: order.waveNumber,
      hosts: order.hosts.length,
      maximum: order.maximum,
      withinMs: order.withinMs,
      done: row?.done.length ?? 0,
      ageMs: Math.round(nowMs() - wave.firstSeenAtMs),
    });
  };

  const saveDone = async (wave: MaintenanceWave): Promise<boolean> => {
    const { waveNumber } = wave.request;
    const done = Array.from(wave.hosts)
      .filter(([, { phase }]) => phase === 'done' || phase === 'down')
      .map(([hostId]) => hostId);
    if (savedDone.get(waveNumber) === done.length) return true;
    const row: WaveRow = { done, takenAtTodayMs: todayMs() - (nowMs() - wave.firstSeenAtMs) };
    const outcome = await platform.table.transact({
      checks: [fenceCheck],
      writes: [{ key: batchKey.wave(waveNumber), value: row }],
    });
    const isSaved = outcome.isOk() && outcome.value.kind === 'committed';
    if (isSaved) savedDone.set(waveNumber, done.length);
    return isSaved;
  };

  /** On what a report rests: how many hosts are in which phase, and which list that was judged by. */
  const groundsOf = ({ hosts: inWave }: MaintenanceWave): LogFields => {
    const { hosts: listed, lastRequestedAtMs } = sight().inventory;
    const phases = Array.from(inWave.values(), ({ phase }) => phase);
    const count = (wanted: MaintenanceHost['phase']): number =>
      phases.filter((phase) => phase === wanted).length;
    return {
      hosts: inWave.size,
      done: count('done'),
      down: count('down'),
      asked: count('asked'),
      refused: count('refused'),
      unlisted: Array.from(inWave.keys()).filter((hostId) => !listed.has(hostId)).length,
      listed: listed.size,
      listAgeMs: ageText(nowMs() - lastRequestedAtMs),
    };
  };

  const report = async (wave: MaintenanceWave): Promise<void> => {
    const { waveNumber } = wave.request;
    const now = isComplete(wave) ? 'completed' : 'running';
    const isSaved = await saveDone(wave);
    if (reported.get(waveNumber) === now || (now === 'completed' && !isSaved)) return;
    const answer = await platform.hosts.reportWave(waveNumber, now);
    if (answer.isOk()) reported.set(waveNumber, now);
    log.info('wave-reported', {
      wave: waveNumber,
      state: now,
      isWritten: answer.isOk(),
      ...groundsOf(wave),
    });
  };

  const noteReason = (waveNumber: number, hostId: HostId, reason: string): void => {
    const subject = `${waveNumber}/${hostId}`;
    if (loggedReasons.get(subject) === reason) return;
    loggedReasons.set(subject, reason);
    if (reason !== '') log.info('host-waits', { wave: waveNumber, host: hostId, reason });
  };

  const noteOutlook = ({ request: { waveNumber }, forecast }: MaintenanceWave): void => {
    const { lateHosts, reason } = forecast;
    if (lateHosts === 0 || expectedLate.has(waveNumber)) return;
    expectedLate.add(waveNumber);
    log.warn('wave-late-expected', { wave: waveNumber, lateHosts, reason });
  };

  return {
    take: (known) =>
      known
        .filter(({ order }) => !waves.has(order.waveNumber))
        .forEach((wave) => waiting.set(wave.order.waveNumber, wave)),
    follow: async () => {
      await Promise.all(Array.from(waiting.values()).map(open));
      await Promise.all(Array.from(waves.values()).map(report));
    },
    waves: () => Array.from(waves.values()),
    isComplete,
    noteReasons: () =>
      waves.forEach((wave) => {
        noteOutlook(wave);
        const { waveNumber } = wave.request;
        wave.hosts.forEach(({ reason }, hostId) => noteReason(waveNumber, hostId, reason));
      }),
  };
};
