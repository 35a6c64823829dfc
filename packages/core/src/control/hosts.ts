/**
 * The life cycle of a host: it is put into use, drained, verified empty, rebooted, verified and put
 * back into use.
 */
import type { DrainPurpose, HostRow, HostSpec } from '../rows/rows.js';
import { writeHost, type Draft } from './draft.js';

const newRow = ({ hostId, initialPool }: HostSpec): HostRow => ({
  hostId,
  pool: initialPool,
  phase: 'assigned',
  reason: `declared for pool=${initialPool}`,
  drain: null,
  bootsBefore: 0,
  maintainedBy: null,
});

const addDeclaredHosts = (draft: Draft): void => {
  draft.snapshot.specs.forEach((spec) => {
    if (spec.initialPool !== draft.snapshot.pool || draft.snapshot.hosts.has(spec.hostId)) return;
    writeHost(draft, newRow(spec));
  });
};

const returnToUse = (row: HostRow, reason: string): HostRow => ({
  ...row,
  phase: 'assigned',
  drain: null,
  reason,
});

type PurposeOf<Kind extends DrainPurpose['kind']> = Extract<DrainPurpose, { kind: Kind }>;

/** Gives the next row of a host that is verified empty, by the purpose of its drain. */
const emptyHostHandlers: {
  readonly [Kind in DrainPurpose['kind']]: (
    draft: Draft,
    row: HostRow,
    purpose: PurposeOf<Kind>,
  ) => HostRow;
} = {
  wave: (draft, row, { waveId }) => {
    const wave = draft.snapshot.waves.get(waveId)?.value;
    if (wave?.phase === 'paused') return row;
    if (!wave || wave.phase === 'cancelled')
      return returnToUse(row, `wave ${waveId} was cancelled`);
    const bootsBefore = draft.snapshot.listedHosts.get(row.hostId)?.boots ?? 0;
    return { ...row, phase: 'rebooting', bootsBefore, reason: `wave ${waveId}: empty, reboots` };
  },
  transfer: (_, row, { toPool }) => ({
    ...returnToUse(row, `moved from pool=${row.pool} to pool=${toPool}, verified empty`),
    pool: toPool,
  }),
  operator: (_, row) => row,
  platform: (draft, row) =>
    draft.snapshot.listedHosts.get(row.hostId)?.state === 'live'
      ? returnToUse(row, 'the platform lists it as live again')
      : row,
};

const advanceEmpty = (draft: Draft, row: HostRow): HostRow => {
  if (row.drain === null) return returnToUse(row, 'no reason to keep it empty');
  const handler = emptyHostHandlers[row.drain.kind] as (
    draft: Draft,
    row: HostRow,
    purpose: DrainPurpose,
  ) => HostRow;
  return handler(draft, row, row.drain);
};

/** A host that has not come back from its reboot after this time is treated as broken. */
export const REBOOT_TIMEOUT_MS = 15 * 60 * 1000;

const isOverdue = (draft: Draft, row: HostRow): boolean =>
  draft.nowMs - (draft.snapshot.hostRowSinceMs.get(row.hostId) ?? draft.nowMs) > REBOOT_TIMEOUT_MS;

const quarantineOverdue = (row: HostRow): HostRow => ({
  ...row,
  phase: 'quarantined',
  reason: `did not come back from its reboot in ${REBOOT_TIMEOUT_MS / 60_000} minutes`,
});

const advanceRebooting = (draft: Draft, row: HostRow): HostRow => {
  if (isOverdue(draft, row)) return quarantineOverdue(row);
  const boots = draft.snapshot.listedHosts.get(row.hostId)?.boots ?? 0;
  if (boots > row.bootsBefore) {
    return { ...row, phase: 'verifying', reason: 'rebooted, being verified' };
  }
  const waveId = row.drain?.kind === 'wave' ? row.drain.waveId : 'none';
  draft.actions.push({
    kind: 'reboot',
    hostId: row.hostId,
    requestName: `${waveId}/${row.hostId}/${row.bootsBefore}`,
  });
  return row;
};

const advanceVerifying = (draft: Draft, row: HostRow): HostRow => {
  if (isOverdue(draft, row)) return quarantineOverdue(row);
  if (draft.snapshot.listedHosts.get(row.hostId)?.state !== 'live') return row;
  const waveId = row.drain?.kind === 'wave' ? row.drain.waveId : row.maintainedBy;
  return { ...returnToUse(row, `maintained by wave ${waveId}`), maintainedBy: waveId };
};

const isCancelled = (draft: Draft, row: HostRow): boolean =>
  row.drain?.kind === 'wave' &&
  draft.snapshot.waves.get(row.drain.waveId)?.value.phase === 'cancelled';

type Advance = (draft: Draft, row: HostRow) => HostRow;

const advanceByPhase: Record<HostRow['phase'], Advance> = {
  assigned: (draft, row) =>
    draft.snapshot.listedHosts.get(row.hostId)?.state === 'leaving'
      ? {
          ...row,
          phase: 'draining',
          drain: { kind: 'platform' },
          reason: 'the platform lists it as leaving',
        }
      : row,
  // The agent of the host's data centre reports when the host is empty. Control can't tell that
  // itself, because the rows do not show which tasks still run there.
  draining: (draft, row) =>
    isCancelled(draft, row) ? returnToUse(row, 'its wave was cancelled') : row,
  empty: (draft, row) => advanceEmpty(draft, row),
  rebooting: (draft, row) => advanceRebooting(draft, row),
  verifying: (draft, row) => advanceVerifying(draft, row),
  quarantined: (_, row) => row,
};

/** Moves a host on until no further phase is due, so it may pass several phases in one turn. */
const advance = (draft: Draft, row: HostRow): HostRow => {
  const next = advanceByPhase[row.phase](draft, row);
  // The reboot is requested in a later turn, after the row with the phase 'rebooting' is committed.
  if (next === row || next.phase === 'rebooting') return next;
  return advance(draft, next);
};

/**
 * Creates rows for newly declared hosts, and moves each host of the pool to its next phase if that
 * is due.
 *
 * @param draft - The working copy, changed in place.
 */
export const planHosts = (draft: Draft): void => {
  addDeclaredHosts(draft);
  draft.snapshot.hosts.forEach(({ value: row }) => {
    if (row.pool !== draft.snapshot.pool) return;
    const next = advance(draft, row);
    if (next !== row) writeHost(draft, next);
  });
};
