/** Writes what is sent over a connection within one turn of the event loop with one system call in place of many. */
import type { Socket } from 'node:net';

/** The batch of writes of one connection. */
export type WriteBatch = {
  /** Holds back what is written from now on until the end of this turn of the event loop. */
  readonly begin: () => void;
  /** Writes what is held back at once, as before the connection is closed. */
  readonly flush: () => void;
};

/**
 * Creates the batch of a connection.
 *
 * @param connection - The connection.
 * @returns The batch, which holds nothing back yet.
 */
export const createWriteBatch = (connection: Pick<Socket, 'cork' | 'uncork'>): WriteBatch => {
  let isOpen = false;

  const flush = (): void => {
    if (!isOpen) return;
    isOpen = false;
    connection.uncork();
  };

  return {
    begin: () => {
      if (isOpen) return;
      isOpen = true;
      connection.cork();
      setImmediate(flush);
    },
    flush,
  };
};
