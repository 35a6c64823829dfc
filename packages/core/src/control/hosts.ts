/** The way of a host through its phases: into use, drained, emptied, rebooted and back. */
import type { DrainPurpose, HostRow, HostSpec } from '../rows/rows.js';
import { writeHost, type Draft } from './draft.js';

const newRow = ({ hostId, firstPool }: HostSpec): HostRow => ({
  hostId,
  pool: firstPool,
  phase: 'assigned',
  reason: `declared for pool=${firstPool}`,
  drain: null,
  bootsBefore: 0,
  maintainedBy: null,
});

const addDeclared = (draft: Draft): void => {
  draft.world.specs.forEach((spec) => {
    if (spec.firstPool !== draft.world.pool || draft.world.hosts.has(spec.hostId)) return;
    writeHost(draft, newRow(spec));
  });
};

const backInUse = (row: HostRow, reason: string): HostRow => ({
  ...row,
  phase: 'assigned',
  drain: null,
  reason,
});

type PurposeOf<Kind extends DrainPurpose['kind']> = Extract<DrainPurpose, { kind: Kind }>;

/** What becomes of a host that is verified empty. */
const whenEmpty: {
  readonly [Kind in DrainPurpose['kind']]: (
    draft: Draft,
    row: HostRow,
    purpose: PurposeOf<Kind>,
  ) => HostRow;
} = {
  wave: (draft, row, { waveId }) => {
    const wave = draft.world.waves.get(waveId)?.value;
    if (wave?.phase === 'paused') return row;
    if (!wave || wave.phase === 'cancelled') return backInUse(row, `wave ${waveId} was cancelled`);
    const bootsBefore = draft.world.sightings.get(row.hostId)?.boots ?? 0;
    return { ...row, phase: 'rebooting', bootsBefore, reason: `wave ${waveId}: empty, reboots` };
  },
  transfer: (_, row, { toPool }) => ({
    ...backInUse(row, `moved from pool=${row.pool} to pool=${toPool}, verified empty`),
    pool: toPool,
  }),
  operator: (_, row) => row,
  platform: (draft, row) =>
    draft.world.sightings.get(row.hostId)?.state === 'live'
      ? backInUse(row, 'the platform lists it as live again')
      : row,
};

const afterEmpty = (draft: Draft, row: HostRow): HostRow => {
  if (row.drain === null) return backInUse(row, 'no reason to keep it empty');
  const handler = whenEmpty[row.drain.kind] as (
    one: Draft,
    host: HostRow,
    purpose: DrainPurpose,
  ) => HostRow;
  return handler(draft, row, row.drain);
};

/** A host that has not come back after so long is taken for broken. */
export const REBOOT_TIMEOUT_MS = 15 * 60 * 1000;

const isOverdue = (draft: Draft, row: HostRow): boolean =>
  draft.nowMs - (draft.world.hostSinceMs.get(row.hostId) ?? draft.nowMs) > REBOOT_TIMEOUT_MS;

const brokenInWave = (row: HostRow): HostRow => ({
  ...row,
  phase: 'quarantined',
  reason: `did not come back from its reboot in ${REBOOT_TIMEOUT_MS / 60_000} minutes`,
});

const afterReboot = (draft: Draft, row: HostRow): HostRow => {
  if (isOverdue(draft, row)) return brokenInWave(row);
  const boots = draft.world.sightings.get(row.hostId)?.boots ?? 0;
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

const afterVerify = (draft: Draft, row: HostRow): HostRow => {
  if (isOverdue(draft, row)) return brokenInWave(row);
  if (draft.world.sightings.get(row.hostId)?.state !== 'live') return row;
  const waveId = row.drain?.kind === 'wave' ? row.drain.waveId : row.maintainedBy;
  return { ...backInUse(row, `maintained by wave ${waveId}`), maintainedBy: waveId };
};

const isCancelled = (draft: Draft, row: HostRow): boolean =>
  row.drain?.kind === 'wave' &&
  draft.world.waves.get(row.drain.waveId)?.value.phase === 'cancelled';

type Advance = (draft: Draft, row: HostRow) => HostRow;

const advanceByPhase: Record<HostRow['phase'], Advance> = {
  assigned: (draft, row) =>
    draft.world.sightings.get(row.hostId)?.state === 'leaving'
      ? {
          ...row,
          phase: 'draining',
          drain: { kind: 'platform' },
          reason: 'the platform lists it as leaving',
        }
      : row,
  // The agent of its data centre tells when it is empty: rows alone do not show what runs there.
  draining: (draft, row) =>
    isCancelled(draft, row) ? backInUse(row, 'its wave was cancelled') : row,
  empty: (draft, row) => afterEmpty(draft, row),
  rebooting: (draft, row) => afterReboot(draft, row),
  verifying: (draft, row) => afterVerify(draft, row),
  quarantined: (_, row) => row,
};

/** A host whose next phase is due already passes through several phases in one turn. */
const advance = (draft: Draft, row: HostRow): HostRow => {
  const next = advanceByPhase[row.phase](draft, row);
  // The request to reboot waits until the row that says so has been committed.
  if (next === row || next.phase === 'rebooting') return next;
  return advance(draft, next);
};

/**
 * Takes declared hosts into use and moves each host of the pool to its next phase, if it is due.
 *
 * @param draft - The working copy, changed in place.
 */
export const planHosts = (draft: Draft): void => {
  addDeclared(draft);
  draft.world.hosts.forEach(({ value: row }) => {
    if (row.pool !== draft.world.pool) return;
    const next = advance(draft, row);
    if (next !== row) writeHost(draft, next);
  });
};
