/** Configurations in the compressed form in which entries send them to each other. */
import { deflateRawSync, inflateRawSync } from 'node:zlib';

import type { BatchConfiguration } from '@valvelatch/core/batch';

/**
 * The routes of a configuration are similar, so the fastest level already compresses to a tenth of the size. The best
 * level takes five times as long.
 */
const FASTEST_COMPRESSION = { level: 1 };
/** The maximum size of an unpacked configuration: enough for about 100,000 queues. */
const MAX_UNPACKED_BYTES = 32 * 1024 * 1024;

/**
 * Unpacks a configuration.
 *
 * @param packed - The compressed configuration.
 * @returns The configuration.
 * @throws If it is not a compressed configuration, or is larger than an entry accepts.
 */
export const unpackConfiguration = (packed: Uint8Array): BatchConfiguration => {
  const text = inflateRawSync(packed, { maxOutputLength: MAX_UNPACKED_BYTES }).toString('utf8');
  return JSON.parse(text) as BatchConfiguration;
};

/**
 * Creates a function that packs configurations. It keeps the last result, so that a configuration is compressed once for
 * all neighbours that ask for it.
 *
 * @returns The function; it tells configurations apart by their version.
 */
export const createConfigurationPacker = (): ((
  configuration: BatchConfiguration,
) => Uint8Array) => {
  let packed: { readonly version: number; readonly bytes: Uint8Array } | undefined;
  return (configuration) => {
    const { version } = configuration;
    if (packed?.version !== version) {
      packed = {
        version,
        bytes: deflateRawSync(JSON.stringify(configuration), FASTEST_COMPRESSION),
      };
    }
    return packed.bytes;
  };
};
