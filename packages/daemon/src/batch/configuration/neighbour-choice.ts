/** Chooses which neighbours an entry asks for a newer configuration. */
import type { EntryId } from '@valvelatch/core/shared/ids';

/**
 * How many neighbours are asked at once. One is not enough, since a network fault often cuts off several entries and
 * the rows of entries that no longer exist stay in the table.
 */
const NEIGHBOURS_PER_ROUND = 2;

export type NeighbourChoice = {
  /** The entries that can be asked. */
  readonly neighbours: readonly EntryId[];
  /** The neighbour whose feed was up to date in the last round; undefined if there was none. */
  readonly upToDateNeighbour: EntryId | undefined;
  readonly random: () => number;
};

/**
 * Chooses the neighbours of one round of questions.
 *
 * @param choice - The entries that can be asked, and which of them was up to date.
 * @returns The neighbour that was up to date, or neighbours spread over the list from a random start.
 */
export const chooseNeighbours = ({
  neighbours,
  upToDateNeighbour,
  random,
}: NeighbourChoice): readonly EntryId[] => {
  if (upToDateNeighbour !== undefined && neighbours.includes(upToDateNeighbour))
    return [upToDateNeighbour];
  const { length } = neighbours;
  const start = Math.floor(random() * length);
  return Array.from({ length: Math.min(NEIGHBOURS_PER_ROUND, length) }, (_, step) => {
    const chosen = (start + step * Math.ceil(length / NEIGHBOURS_PER_ROUND)) % length;
    return neighbours[chosen] as EntryId;
  });
};
