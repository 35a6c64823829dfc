/** Encodes and decodes the messages that entries exchange, as MessagePack. */
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
 * Encodes a message as MessagePack.
 *
 * @param message - The message to send.
 * @returns The encoded bytes.
 */
export const encodeFrame = (message: MeshMessage): Buffer => pack(message);

/**
 * Decodes a received frame. Never throws.
 *
 * @param bytes - The received frame.
 * @returns The message, or undefined when the bytes are not MessagePack or the message type is
 *   unknown.
 */
export const decodeFrame = (bytes: Uint8Array): MeshMessage | undefined => {
  try {
    const value = unpack(bytes) as MeshMessage | null;
    return value && knownTypes.has(value.type) ? value : undefined;
  } catch {
    return undefined;
  }
};
