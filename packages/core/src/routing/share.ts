/** How the slots and connections of an endpoint are divided among the seats of a data centre. */
import { hash32 } from '../shared/hash.js';

/**
 * Gives the part of a limit that one seat may use. The parts of all seats add up to the limit.
 *
 * @param limit - The slots or connections of the endpoint.
 * @param seats - How many seats the data centre has.
 * @param seat - The seat, from 0.
 * @param endpoint - The endpoint's name; it decides which seats get what is left over.
 * @returns The seat's part, a whole number.
 */
export const shareOfSeat = (
  limit: number,
  seats: number,
  seat: number,
  endpoint: string,
): number => {
  if (seat < 0 || seat >= seats) return 0;
  const leftOver = limit % seats;
  const turn = (seat + (hash32(endpoint) % seats)) % seats;
  return Math.floor(limit / seats) + (turn < leftOver ? 1 : 0);
};
