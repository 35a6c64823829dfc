/** The difference between a configuration and a wanted set of declarations. */
import { isDeepStrictEqual } from 'node:util';

import { declarationKey, type Declaration, type DeclarationKey } from '../declarations/schema.js';
import type { Configuration } from './configuration.js';

/** What would change if a set of declarations were applied. */
export type ConfigurationDifference = {
  readonly added: readonly DeclarationKey[];
  readonly changed: readonly DeclarationKey[];
  readonly removed: readonly DeclarationKey[];
};

/**
 * Compares a wanted set of declarations with the configuration in force.
 *
 * @param state - The configuration in force.
 * @param wanted - The whole wanted set; what it does not name is removed.
 * @returns The keys that would be added, changed and removed.
 */
export const differenceOf = (
  state: Configuration,
  wanted: readonly Declaration[],
): ConfigurationDifference => {
  const wantedKeys = new Set(wanted.map(declarationKey));
  const isNew = (one: Declaration) => !state.declarations.has(declarationKey(one));
  const differs = (one: Declaration) =>
    !isNew(one) && !isDeepStrictEqual(state.declarations.get(declarationKey(one)), one);
  return {
    added: wanted.filter(isNew).map(declarationKey),
    changed: wanted.filter(differs).map(declarationKey),
    removed: Array.from(state.declarations.keys()).filter((key) => !wantedKeys.has(key)),
  };
};

/**
 * Tells whether a difference is empty.
 *
 * @param difference - The difference.
 * @returns True if nothing would change.
 */
export const isEmptyDifference = (difference: ConfigurationDifference): boolean =>
  difference.added.length + difference.changed.length + difference.removed.length === 0;
