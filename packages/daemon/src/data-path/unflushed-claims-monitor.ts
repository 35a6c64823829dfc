/**
 * Finds the data centres that may hold unflushed claims: claims that exist only in the memory of
 * entries and not yet in the platform's table. They are inferred from the renewals of seat leases.
 */
import {
  findDataCentresWithUnflushedClaims,
  noSeatObservations,
  rowKey,
  rowPrefix,
  updateSeatObservations,
  type UnflushedClaimsRow,
  type LeaseRow,
} from '@valvelatch/core';
import type { TableClient } from '@valvelatch/platform';

/** Monitor of the data centres that may hold unflushed claims. */
export type UnflushedClaimsMonitor = {
  /** Reads the seat rows of all data centres. */
  readonly readSeats: () => Promise<void>;
  /** Returns the data centres that may hold unflushed claims. */
  readonly dataCentresWithUnflushedClaims: () => readonly string[];
  /**
   * Records in the table, for all entries, that claims of a data centre may be lost. Resolves to
   * false if that could not be written.
   */
  readonly recordPossibleClaimLoss: (dataCentre: string) => Promise<boolean>;
};

export type UnflushedClaimsMonitorOptions = {
  readonly table: TableClient;
  readonly nowMs?: () => number;
};

/** Result before the seats have been read twice, because their renewals are not known until then. */
const ANY_DATA_CENTRE = ['any'] as const;
const MIN_SCANS = 2;

/**
 * Creates the monitor.
 *
 * @param options - The table client and the clock.
 * @returns The monitor. Until it has read the seat rows twice, any data centre may hold unflushed
 * claims.
 */
export const createUnflushedClaimsMonitor = ({
  table,
  nowMs = () => performance.now(),
}: UnflushedClaimsMonitorOptions): UnflushedClaimsMonitor => {
  let seatObservations = noSeatObservations;
  let scanCount = 0;

  const readSeats = async (): Promise<void> => {
    const startedMs = nowMs();
    const rows = await table.scan(rowPrefix.seat);
    if (rows.isErr()) return;
    scanCount += 1;
    seatObservations = updateSeatObservations(
      seatObservations,
      rows.value.map(({ key, value, version }) => ({ key, row: value as LeaseRow, version })),
      startedMs,
    );
  };

  const recordPossibleClaimLoss = async (dataCentre: string): Promise<boolean> => {
    const rows = await table.read([rowKey.doubt]);
    if (rows.isErr()) return false;
    const [row] = rows.value;
    const recorded = (row?.value as UnflushedClaimsRow | null)?.dataCentres ?? [];
    if (recorded.includes(dataCentre)) return true;
    const outcome = await table.transact({
      checks: [{ key: rowKey.doubt, version: row?.version ?? 0 }],
      writes: [{ key: rowKey.doubt, value: { dataCentres: [...recorded, dataCentre] } }],
    });
    return outcome.isOk() && outcome.value.kind === 'committed';
  };

  return {
    readSeats,
    dataCentresWithUnflushedClaims: () =>
      scanCount < MIN_SCANS
        ? ANY_DATA_CENTRE
        : findDataCentresWithUnflushedClaims(seatObservations, nowMs()),
    recordPossibleClaimLoss,
  };
};
