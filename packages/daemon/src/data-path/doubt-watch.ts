/** Watches the seats of all data centres for those that may hold claims which the table lacks. */
import {
  dataCentresInDoubt,
  noSights,
  rowKey,
  rowPrefix,
  takeSeatRows,
  type DoubtRow,
  type LeaseRow,
} from '@valvelatch/core';
import type { TableClient } from '@valvelatch/platform';

export type DoubtWatch = {
  readonly tick: () => Promise<void>;
  readonly inDoubt: () => readonly string[];
  /** Records for all that claims of a data centre may be lost; false where that cannot be written. */
  readonly raise: (dataCentre: string) => Promise<boolean>;
};

export type DoubtWatchOptions = {
  readonly table: TableClient;
  readonly nowMs?: () => number;
};

/** Until the seats have been read twice nothing is known of their renewals. */
const NOT_WATCHED_YET = ['any'] as const;
const READINGS_NEEDED = 2;

/**
 * Builds the watch.
 *
 * @param options - The table.
 * @returns The watch; everything is in doubt until it has read the seats.
 */
export const createDoubtWatch = ({
  table,
  nowMs = () => performance.now(),
}: DoubtWatchOptions): DoubtWatch => {
  let sights = noSights;
  let readings = 0;

  const tick = async (): Promise<void> => {
    const startedMs = nowMs();
    const rows = await table.scan(rowPrefix.seat);
    if (rows.isErr()) return;
    readings += 1;
    sights = takeSeatRows(
      sights,
      rows.value.map(({ key, value, version }) => ({ key, row: value as LeaseRow, version })),
      startedMs,
    );
  };

  const raise = async (dataCentre: string): Promise<boolean> => {
    const rows = await table.read([rowKey.doubt]);
    if (rows.isErr()) return false;
    const [row] = rows.value;
    const known = (row?.value as DoubtRow | null)?.dataCentres ?? [];
    if (known.includes(dataCentre)) return true;
    const outcome = await table.transact({
      checks: [{ key: rowKey.doubt, version: row?.version ?? 0 }],
      writes: [{ key: rowKey.doubt, value: { dataCentres: [...known, dataCentre] } }],
    });
    return outcome.isOk() && outcome.value.kind === 'committed';
  };

  return {
    tick,
    inDoubt: () =>
      readings < READINGS_NEEDED ? NOT_WATCHED_YET : dataCentresInDoubt(sights, nowMs()),
    raise,
  };
};
