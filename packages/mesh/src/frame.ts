/** The encoding of messages between entries. */
import type { MeshMessage } from '@valvelatch/core';
import { pack, unpack } from 'msgpackr';

const knownTypes: ReadonlySet<string> = new Set<MeshMessage['type']>([
  'hello',
  'heartbeat',
  'gossip',
  'deltas',
  'catch-up',
  'snapshot',
  'ask',
  'answer',
]);

/**
 * Encodes a message.
 *
 * @param message - The message.
 * @returns Its bytes.
 */
export const encodeFrame = (message: MeshMessage): Buffer => pack(message);

/**
 * Decodes a message.
 *
 * @param bytes - What came in.
 * @returns The message, or undefined for what is none; it never throws.
 */
export const decodeFrame = (bytes: Uint8Array): MeshMessage | undefined => {
  try {
    const value = unpack(bytes) as MeshMessage | null;
    return value && knownTypes.has(value.type) ? value : undefined;
  } catch {
    return undefined;
  }
};
