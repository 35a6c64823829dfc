/** Divides the slots and connections of an endpoint among the seats of a data centre. */
import { hash32 } from '../shared/hash.js';

/**
 * Returns the part of a limit that one seat may use. The parts of all seats add up to the limit.
 *
 * @param limit - The slots or connections of the endpoint.
 * @param seats - The number of seats of the data centre.
 * @param seat - The index of the seat, from 0.
 * @param endpoint - The endpoint's name. Its hash selects the seats that get one unit of the
 * remainder each, so that the remainders of all endpoints don't go to the same seats.
 * @returns The seat's part, a whole number; 0 if there is no such seat.
 */
export const computeSeatShare = (
  limit: number,
  seats: number,
  seat: number,
  endpoint: string,
): number => {
  if (seat < 0 || seat >= seats) return 0;
  const remainder = limit % seats;
  const position = (seat + (hash32(endpoint) % seats)) % seats;
  return Math.floor(limit / seats) + (position < remainder ? 1 : 0);
};
