/**
 * Asks a holder that does not renew whether it has resigned. One that lost the table and not the mesh is heard, so
 * it would otherwise keep its lease until that lapses (8.4 s without control were seen). Only an entry that the table
 * serves asks: while the table answers nobody, the holder goes on with what it has.
 */
import type { EntryId } from '@valvelatch/core/shared/ids';

import type { AskPeer } from '../entry/peers.js';
import { CONTROL_METHOD } from './holder-client.js';

/** The holder answers from memory; the next look asks again. */
const ASK_MS = 500;
/** A slow table takes up to 610 ms. */
const SERVED_WITHIN_MS = 700;
/** After an outage that all saw, the holder has this long to renew before it is asked. */
const SERVED_FOR_MS = 1500;

export type ResignationsOptions = {
  /** Asks another entry; undefined while the mesh is not open. */
  readonly ask: (...args: Parameters<AskPeer>) => ReturnType<AskPeer> | undefined;
  readonly nowMs: () => number;
};

export type Resignations = {
  /** Notes for how long the table has not answered this entry; Infinity if its last call failed. */
  readonly noteTable: (silentMs: number) => void;
  /** Asks a holder about its fence, unless a question is open or the table has not served this entry for long enough. */
  readonly ask: (holder: EntryId, fence: number) => void;
  /** True if the holder has said that it orders nothing under the fence any more. */
  readonly hasResigned: (fence: number) => boolean;
};

/**
 * Builds what one entry knows of resigned holders.
 *
 * @param options - The mesh and the clock.
 * @returns The knowledge, empty.
 */
export const createResignations = ({ ask, nowMs }: ResignationsOptions): Resignations => {
  let servedSinceMs = nowMs();
  let resignedFence = -1;
  let isAsking = false;

  const askOnce = async (holder: EntryId, fence: number): Promise<void> => {
    try {
      const answer = await ask(holder, CONTROL_METHOD.resigned, fence, ASK_MS);
      if (answer === true) resignedFence = Math.max(resignedFence, fence);
    } catch {
      // Without an answer the lease is taken once it has lapsed, or once the holder is silent.
    }
    isAsking = false;
  };

  return {
    noteTable: (silentMs) => {
      if (silentMs > SERVED_WITHIN_MS) servedSinceMs = nowMs();
    },
    ask: (holder, fence) => {
      const isServedForLong = nowMs() - servedSinceMs >= SERVED_FOR_MS;
      if (isAsking || !isServedForLong || fence <= resignedFence) return;
      isAsking = true;
      void askOnce(holder, fence);
    },
    hasResigned: (fence) => fence === resignedFence,
  };
};
