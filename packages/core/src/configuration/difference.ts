/** The difference between a configuration and a desired set of declarations. */
import { isDeepStrictEqual } from 'node:util';

import { declarationKey, type Declaration, type DeclarationKey } from '../declarations/schema.js';
import type { Configuration } from './configuration.js';

/** The keys of the declarations that would change if a set of declarations were applied. */
export type ConfigurationDifference = {
  readonly added: readonly DeclarationKey[];
  readonly changed: readonly DeclarationKey[];
  readonly removed: readonly DeclarationKey[];
};

/**
 * Compares a desired set of declarations with the current configuration.
 *
 * @param state - The current configuration.
 * @param desired - The complete desired set; declarations that it does not contain are removed.
 * @returns The keys that would be added, changed and removed.
 */
export const diffConfiguration = (
  state: Configuration,
  desired: readonly Declaration[],
): ConfigurationDifference => {
  const desiredKeys = new Set(desired.map(declarationKey));
  const isNew = (declaration: Declaration) => !state.declarations.has(declarationKey(declaration));
  const isChanged = (declaration: Declaration) =>
    !isNew(declaration) &&
    !isDeepStrictEqual(state.declarations.get(declarationKey(declaration)), declaration);
  return {
    added: desired.filter(isNew).map(declarationKey),
    changed: desired.filter(isChanged).map(declarationKey),
    removed: Array.from(state.declarations.keys()).filter((key) => !desiredKeys.has(key)),
  };
};

/**
 * Checks whether a difference is empty.
 *
 * @param difference - The difference.
 * @returns True if nothing would change.
 */
export const isEmptyDifference = (difference: ConfigurationDifference): boolean =>
  difference.added.length + difference.changed.length + difference.removed.length === 0;
