/** Checks across declarations: each name that one uses must be declared by another. */
import {
  declarationKey,
  type Declaration,
  type DeclarationKey,
  type DeclarationKind,
  type DeclarationOf,
} from './schema.js';

/** A fault that shows only when the declarations are seen together. */
export type ReferenceFault = {
  readonly key: DeclarationKey;
  readonly path: string;
  readonly reason: string;
};

type Problem = { readonly path: string; readonly reason: string };
type Known = (kind: DeclarationKind, name: string) => boolean;

const missing = (known: Known, kind: DeclarationKind, path: string, name: string): Problem[] =>
  known(kind, name) ? [] : [{ path, reason: `no ${kind} named '${name}' is declared` }];

const checkService = ({ spec }: DeclarationOf<'Service'>, known: Known): Problem[] => [
  ...missing(known, 'Pool', 'spec.pool', spec.pool),
  ...missing(known, 'Team', 'spec.team', spec.team),
  ...(spec.minReady > spec.executors
    ? [{ path: 'spec.minReady', reason: `is above spec.executors (${spec.executors})` }]
    : []),
];

const checkers: {
  readonly [Kind in DeclarationKind]: (one: DeclarationOf<Kind>, known: Known) => Problem[];
} = {
  DataCentre: () => [],
  Pool: () => [],
  Team: () => [],
  HostGroup: ({ spec }, known) => [
    ...missing(known, 'DataCentre', 'spec.dataCentre', spec.dataCentre),
    ...missing(known, 'Pool', 'spec.pool', spec.pool),
  ],
  Service: checkService,
};

/**
 * Checks that every name which a declaration refers to is declared.
 *
 * @param declarations - The whole set.
 * @returns The faults; none if the set holds together.
 */
export const checkReferences = (
  declarations: readonly Declaration[],
): readonly ReferenceFault[] => {
  const keys = new Set(declarations.map(declarationKey));
  const known: Known = (kind, name) => keys.has(`${kind}/${name}`);
  return declarations.flatMap((one) => {
    const check = checkers[one.kind] as (value: Declaration, isKnown: Known) => Problem[];
    return check(one, known).map((problem) => ({ key: declarationKey(one), ...problem }));
  });
};
