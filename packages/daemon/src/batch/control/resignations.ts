/**
 * Asks a holder that does not renew its lease whether it has resigned. A holder that lost the table but not the mesh is
 * not silent, so it would otherwise keep its lease until that lapses, which left the fleet without control for 8.4 s.
 * Only an entry that the table serves asks: while the table answers nobody, the holder continues with the work it has.
 */
import type { EntryId } from '@valvelatch/core/shared/ids';

import type { AskPeer } from '../entry/peers.js';
import { CONTROL_METHOD } from './holder-client.js';

/** Time limit of one question. The holder answers from memory, and the next check of the lease asks again. */
const ASK_TIMEOUT_MS = 500;
/** An entry counts as served by the table up to this silence. A slow table takes up to 610 ms. */
const MAX_TABLE_SILENCE_MS = 700;
/**
 * The table must have served this entry for this long before it asks, so that after an outage that affected all entries
 * the holder can renew first.
 */
const MIN_SERVED_MS = 1500;

export type ResignationsOptions = {
  /** Calls another entry; undefined while the mesh is not open. */
  readonly ask: (...args: Parameters<AskPeer>) => ReturnType<AskPeer> | undefined;
  readonly nowMs: () => number;
};

export type Resignations = {
  /**
   * Records for how long the table has not answered this entry, in milliseconds; Infinity if its last direct call
   * failed.
   */
  readonly recordTableSilence: (silentMs: number) => void;
  /**
   * Asks a holder whether it has resigned under a fence. Does nothing while a question is in flight, or if the table
   * has not served this entry for long enough.
   */
  readonly askIfResigned: (holder: EntryId, fence: number) => void;
  /** True if the holder has answered that it sends no more orders under the fence. */
  readonly hasResigned: (fence: number) => boolean;
};

/**
 * Builds an entry's record of resigned holders.
 *
 * @param options - The mesh and the clock.
 * @returns The record, empty.
 */
export const createResignations = ({ ask, nowMs }: ResignationsOptions): Resignations => {
  let servedSinceMs = nowMs();
  let resignedFence = -1;
  let isAsking = false;

  const sendQuestion = async (holder: EntryId, fence: number): Promise<void> => {
    try {
      const answer = await ask(holder, CONTROL_METHOD.resigned, fence, ASK_TIMEOUT_MS);
      if (answer === true) resignedFence = Math.max(resignedFence, fence);
    } catch {
      // Without an answer the lease is taken once it has lapsed, or once the holder is silent on the mesh.
    }
    isAsking = false;
  };

  return {
    recordTableSilence: (silentMs) => {
      if (silentMs > MAX_TABLE_SILENCE_MS) servedSinceMs = nowMs();
    },
    askIfResigned: (holder, fence) => {
      const isServedForLong = nowMs() - servedSinceMs >= MIN_SERVED_MS;
      if (isAsking || !isServedForLong || fence <= resignedFence) return;
      isAsking = true;
      void sendQuestion(holder, fence);
    },
    hasResigned: (fence) => fence === resignedFence,
  };
};
