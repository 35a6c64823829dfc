/**
 * Configuration as a log of revisions. A state only ever moves to a higher revision, so a stale
 * peer or a late message cannot revert a change.
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

/** The declarations that are in effect at one revision. Revision 0 is the empty configuration. */
export type Configuration = {
  readonly revision: number;
  readonly declarations: ReadonlyMap<DeclarationKey, Declaration>;
};

/** One accepted change, which turns revision `revision - 1` into `revision`. */
export type ConfigurationDelta = {
  readonly revision: number;
  readonly changeId: ChangeId;
  readonly author: string;
  readonly upserts: readonly Declaration[];
  readonly deletes: readonly DeclarationKey[];
};

/** A whole configuration in a form that can be sent in a message or stored as an object. */
export type ConfigurationSnapshot = {
  readonly revision: number;
  readonly declarations: readonly Declaration[];
};

/** The configuration before any change was applied. */
export const emptyConfiguration: Configuration = { revision: 0, declarations: new Map() };

const applyDelta = (state: Configuration, delta: ConfigurationDelta): Configuration => {
  const declarations = new Map(state.declarations);
  delta.deletes.forEach((key) => declarations.delete(key));
  delta.upserts.forEach((declaration) =>
    declarations.set(declarationKey(declaration), declaration),
  );
  return { revision: delta.revision, declarations };
};

const byRevision: Ord.Ord<ConfigurationDelta> = pipe(
  N.Ord,
  Ord.contramap(({ revision }) => revision),
);

/**
 * Applies deltas. They may be in any order and contain duplicates and gaps.
 *
 * @param state - The current configuration.
 * @param deltas - The deltas.
 * @returns The configuration at the highest revision that can be reached without a gap.
 */
export const applyDeltas = (
  state: Configuration,
  deltas: readonly ConfigurationDelta[],
): Configuration =>
  pipe(
    deltas,
    RA.sort(byRevision),
    RA.reduce(state, (current, delta) =>
      delta.revision === current.revision + 1 ? applyDelta(current, delta) : current,
    ),
  );

/**
 * Replaces the configuration by a snapshot if that has a higher revision.
 *
 * @param state - The current configuration.
 * @param snapshot - The snapshot.
 * @returns The newer of the two.
 */
export const applySnapshot = (
  state: Configuration,
  snapshot: ConfigurationSnapshot,
): Configuration => {
  if (snapshot.revision <= state.revision) return state;
  return {
    revision: snapshot.revision,
    declarations: new Map(
      snapshot.declarations.map((declaration) => [declarationKey(declaration), declaration]),
    ),
  };
};

/**
 * Converts a configuration to a snapshot.
 *
 * @param state - The configuration.
 * @returns The snapshot, with the declarations sorted by key.
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
 * @returns The declarations, in the iteration order of the configuration's map.
 */
export const listDeclarations = <Kind extends DeclarationKind>(
  state: Configuration,
  kind: Kind,
): readonly DeclarationOf<Kind>[] =>
  Array.from(state.declarations.values()).filter(
    (declaration): declaration is DeclarationOf<Kind> => declaration.kind === kind,
  );

/**
 * Finds one declaration.
 *
 * @param state - The configuration.
 * @param kind - Its kind.
 * @param name - Its name.
 * @returns The declaration, or undefined if there is none.
 */
export const findDeclaration = <Kind extends DeclarationKind>(
  state: Configuration,
  kind: Kind,
  name: string,
): DeclarationOf<Kind> | undefined =>
  state.declarations.get(`${kind}/${name}`) as DeclarationOf<Kind> | undefined;
