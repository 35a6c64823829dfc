/**
 * Configuration as a log of revisions. A state moves only to a higher revision, so whatever a
 * stale peer or a late message brings, nothing reverts.
 */
import { pipe } from 'fp-ts/lib/function.js';
import * as N from 'fp-ts/lib/number.js';
import * as Ord from 'fp-ts/lib/Ord.js';
import * as RA from 'fp-ts/lib/ReadonlyArray.js';
import * as RM from 'fp-ts/lib/ReadonlyMap.js';
import * as RT from 'fp-ts/lib/ReadonlyTuple.js';
import * as S from 'fp-ts/lib/string.js';

import {
  declarationKey,
  type Declaration,
  type DeclarationKey,
  type DeclarationKind,
  type DeclarationOf,
} from '../declarations/schema.js';
import type { ChangeId } from '../shared/ids.js';

/** The declarations in force at one revision. Revision 0 is the empty one. */
export type Configuration = {
  readonly revision: number;
  readonly declarations: ReadonlyMap<DeclarationKey, Declaration>;
};

/** One accepted change: what turns revision `revision - 1` into `revision`. */
export type ConfigurationDelta = {
  readonly revision: number;
  readonly changeId: ChangeId;
  readonly author: string;
  readonly upserts: readonly Declaration[];
  readonly deletes: readonly DeclarationKey[];
};

/** A whole configuration in a form fit for a message or an object. */
export type ConfigurationSnapshot = {
  readonly revision: number;
  readonly declarations: readonly Declaration[];
};

/** The configuration before anything was applied. */
export const emptyConfiguration: Configuration = { revision: 0, declarations: new Map() };

const applyDelta = (state: Configuration, delta: ConfigurationDelta): Configuration => {
  const declarations = new Map(state.declarations);
  delta.deletes.forEach((key) => declarations.delete(key));
  delta.upserts.forEach((one) => declarations.set(declarationKey(one), one));
  return { revision: delta.revision, declarations };
};

const byRevision: Ord.Ord<ConfigurationDelta> = pipe(
  N.Ord,
  Ord.contramap(({ revision }) => revision),
);

/**
 * Takes in deltas in any order, with repeats and gaps.
 *
 * @param state - The configuration in force.
 * @param deltas - The deltas that are at hand.
 * @returns The configuration at the highest revision that can be reached without a gap.
 */
export const takeDeltas = (
  state: Configuration,
  deltas: readonly ConfigurationDelta[],
): Configuration =>
  pipe(
    deltas,
    RA.sort(byRevision),
    RA.reduce(state, (sum, delta) =>
      delta.revision === sum.revision + 1 ? applyDelta(sum, delta) : sum,
    ),
  );

/**
 * Takes in a snapshot, if it is newer.
 *
 * @param state - The configuration in force.
 * @param snapshot - The snapshot.
 * @returns The newer of the two.
 */
export const takeSnapshot = (
  state: Configuration,
  snapshot: ConfigurationSnapshot,
): Configuration => {
  if (snapshot.revision <= state.revision) return state;
  return {
    revision: snapshot.revision,
    declarations: new Map(snapshot.declarations.map((one) => [declarationKey(one), one])),
  };
};

/**
 * Writes a configuration as a snapshot.
 *
 * @param state - The configuration.
 * @returns Its snapshot, with the declarations in the order of their keys.
 */
export const toSnapshot = (state: Configuration): ConfigurationSnapshot => ({
  revision: state.revision,
  declarations: pipe(state.declarations, RM.toReadonlyArray(S.Ord), RA.map(RT.snd)),
});

/**
 * Lists the declarations of one kind.
 *
 * @param state - The configuration.
 * @param kind - The kind.
 * @returns The declarations, in the order in which they are held.
 */
export const declarationsOf = <Kind extends DeclarationKind>(
  state: Configuration,
  kind: Kind,
): readonly DeclarationOf<Kind>[] =>
  Array.from(state.declarations.values()).filter(
    (one): one is DeclarationOf<Kind> => one.kind === kind,
  );

/**
 * Finds one declaration.
 *
 * @param state - The configuration.
 * @param kind - Its kind.
 * @param name - Its name.
 * @returns The declaration, or undefined.
 */
export const findDeclaration = <Kind extends DeclarationKind>(
  state: Configuration,
  kind: Kind,
  name: string,
): DeclarationOf<Kind> | undefined =>
  state.declarations.get(`${kind}/${name}`) as DeclarationOf<Kind> | undefined;
