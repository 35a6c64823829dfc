/** Keeps the maintenance waves of a term: their rows, the reports to the operator, and why hosts wait. */
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
import { formatListAge } from './host-roster.js';
import { batchKey } from '../keys.js';
import type { BatchPlatform } from '../ports.js';

/** A maintenance wave that this entry has learned of. */
export type KnownWave = {
  readonly request: MaintenanceRequest;
  /** When this entry first saw the wave, by its monotonic clock. */
  readonly firstSeenAtMs: number;
};

/** The stored row of a wave. */
type WaveRow = {
  /** The hosts that are down for the wave or have been. */
  readonly done: readonly HostId[];
  /** When the wave was first seen, by the wall clock, since entries share no other clock. */
  readonly takenAtTodayMs?: number;
};

const isWaveRow = (value: unknown): value is WaveRow => {
  if (typeof value !== 'object' || value === null) return false;
  const { done, takenAtTodayMs = 0 } = value as Partial<WaveRow>;
  const hasHosts = Array.isArray(done) && done.every((hostId) => typeof hostId === 'string');
  return hasHosts && Number.isFinite(takenAtTodayMs);
};

export type WaveTrackerOptions = {
  readonly platform: Pick<BatchPlatform, 'table' | 'hosts'>;
  /** Every write checks this row, so that a former holder writes nothing. */
  readonly fenceCheck: RowCheck;
  /** What is known about hosts. */
  readonly knownHosts: () => KnownHosts;
  readonly log: Log;
  /** The monotonic clock. */
  readonly nowMs: () => number;
  /** The wall clock. */
  readonly wallClockMs: () => number;
};

export type WaveTracker = {
  /** Adds waves; those already known are ignored. */
  readonly add: (known: readonly KnownWave[]) => void;
  /** Reads the rows of new waves, saves the progress of all waves and reports it to the operator. */
  readonly sync: () => Promise<void>;
  readonly waves: () => readonly MaintenanceWave[];
  /** True if every host of the wave has been down and is back, or has left the fleet for good. */
  readonly isComplete: (wave: MaintenanceWave) => boolean;
  /** Logs why each host waits when the reason changes, and once for each wave that it is expected to be late. */
  readonly logWaitReasons: () => void;
};

/**
 * Creates the wave tracker of a term.
 *
 * @param options - Access to rows and hosts, and what is known about hosts.
 * @returns The tracker. It has no waves yet.
 */
export const createWaveTracker = ({
  platform,
  fenceCheck,
  knownHosts,
  log,
  nowMs,
  wallClockMs,
}: WaveTrackerOptions): WaveTracker => {
  const waves = new Map<number, MaintenanceWave>();
  /** The waves whose rows have not been read yet, by number. */
  const unopenedWaves = new Map<number, KnownWave>();
  /** The state last reported to the operator, by wave number. */
  const reportedStates = new Map<number, 'running' | 'completed'>();
  /** How many hosts the stored row has as done, by wave number. */
  const savedDoneCounts = new Map<number, number>();
  const loggedReasons = new Map<string, string>();
  /** The waves that were logged as expected to be late. */
  const wavesExpectedLate = new Set<number>();

  const isComplete = (wave: MaintenanceWave): boolean => isWaveComplete(knownHosts(), wave);

  /**
   * Returns when the wave was ordered, by the monotonic clock: when this entry first saw it, or earlier if the row
   * that an earlier holder wrote says so.
   */
  const computeOrderedAtMs = (
    { request, firstSeenAtMs }: KnownWave,
    row: WaveRow | undefined,
  ): number => {
    if (row?.takenAtTodayMs === undefined) return firstSeenAtMs;
    // The wall clock jumps on some hosts, so the age from the row is limited to the time that the wave has.
    const ageMs = Math.max(0, Math.min(request.withinMs, wallClockMs() - row.takenAtTodayMs));
    return Math.min(firstSeenAtMs, nowMs() - ageMs);
  };

  const unreadableWaves = new Set<number>();

  /** Hosts of the wave may have been maintained already, so the wave waits until its row has been repaired. */
  const logUnreadable = (waveNumber: number): void => {
    if (unreadableWaves.has(waveNumber)) return;
    unreadableWaves.add(waveNumber);
    log.error('own-row-unreadable', { key: batchKey.wave(waveNumber) });
  };

  /** Reads the row of a wave and adds the wave. If the table does not answer, the next call tries again. */
  const openWave = async (known: KnownWave): Promise<void> => {
    const { request } = known;
    const rows = await platform.table.read([batchKey.wave(request.waveNumber)]);
    if (rows.isErr()) return;
    const row = rows.value[0]?.value ?? undefined;
    if (row !== undefined && !isWaveRow(row)) {
      logUnreadable(request.waveNumber);
      return;
    }
    unopenedWaves.delete(request.waveNumber);
    const wave = createMaintenanceWave(request, row?.done ?? [], computeOrderedAtMs(known, row));
    waves.set(request.waveNumber, wave);
    log.info('wave-taken', {
      wave: request.waveNumber,
      hosts: request.hosts.length,
      maximum: request.maximum,
      withinMs: request.withinMs,
      done: row?.done.length ?? 0,
      ageMs: Math.round(nowMs() - wave.firstSeenAtMs),
    });
  };

  /** Saves which hosts of a wave are done or down; returns whether the row is up to date. */
  const saveDone = async (wave: MaintenanceWave): Promise<boolean> => {
    const { waveNumber } = wave.request;
    const done = Array.from(wave.hosts)
      .filter(([, { phase }]) => phase === 'done' || phase === 'down')
      .map(([hostId]) => hostId);
    if (savedDoneCounts.get(waveNumber) === done.length) return true;
    const row: WaveRow = { done, takenAtTodayMs: wallClockMs() - (nowMs() - wave.firstSeenAtMs) };
    const outcome = await platform.table.transact({
      checks: [fenceCheck],
      writes: [{ key: batchKey.wave(waveNumber), value: row }],
    });
    const isSaved = outcome.isOk() && outcome.value.kind === 'committed';
    if (isSaved) savedDoneCounts.set(waveNumber, done.length);
    return isSaved;
  };

  /** Returns what a report is based on: how many hosts are in each phase, and the size and age of the list of hosts. */
  const describeWave = ({ hosts: inWave }: MaintenanceWave): LogFields => {
    const { hosts: listed, lastRequestedAtMs } = knownHosts().inventory;
    const phases = Array.from(inWave.values(), ({ phase }) => phase);
    const count = (counted: MaintenanceHost['phase']): number =>
      phases.filter((phase) => phase === counted).length;
    return {
      hosts: inWave.size,
      done: count('done'),
      down: count('down'),
      asked: count('asked'),
      refused: count('refused'),
      unlisted: Array.from(inWave.keys()).filter((hostId) => !listed.has(hostId)).length,
      listed: listed.size,
      listAgeMs: formatListAge(nowMs() - lastRequestedAtMs),
    };
  };

  const report = async (wave: MaintenanceWave): Promise<void> => {
    const { waveNumber } = wave.request;
    const state = isComplete(wave) ? 'completed' : 'running';
    const isSaved = await saveDone(wave);
    if (reportedStates.get(waveNumber) === state || (state === 'completed' && !isSaved)) return;
    const answer = await platform.hosts.reportWave(waveNumber, state);
    if (answer.isOk()) reportedStates.set(waveNumber, state);
    log.info('wave-reported', {
      wave: waveNumber,
      state,
      isWritten: answer.isOk(),
      ...describeWave(wave),
    });
  };

  const logWaitReason = (waveNumber: number, hostId: HostId, reason: string): void => {
    const subject = `${waveNumber}/${hostId}`;
    if (loggedReasons.get(subject) === reason) return;
    loggedReasons.set(subject, reason);
    if (reason !== '') log.info('host-waits', { wave: waveNumber, host: hostId, reason });
  };

  const logLateForecast = ({ request: { waveNumber }, forecast }: MaintenanceWave): void => {
    const { lateHosts, reason } = forecast;
    if (lateHosts === 0 || wavesExpectedLate.has(waveNumber)) return;
    wavesExpectedLate.add(waveNumber);
    log.warn('wave-late-expected', { wave: waveNumber, lateHosts, reason });
  };

  return {
    add: (known) =>
      known
        .filter(({ request }) => !waves.has(request.waveNumber))
        .forEach((wave) => unopenedWaves.set(wave.request.waveNumber, wave)),
    sync: async () => {
      await Promise.all(Array.from(unopenedWaves.values()).map(openWave));
      await Promise.all(Array.from(waves.values()).map(report));
    },
    waves: () => Array.from(waves.values()),
    isComplete,
    logWaitReasons: () =>
      waves.forEach((wave) => {
        logLateForecast(wave);
        const { waveNumber } = wave.request;
        wave.hosts.forEach(({ reason }, hostId) => logWaitReason(waveNumber, hostId, reason));
      }),
  };
};
