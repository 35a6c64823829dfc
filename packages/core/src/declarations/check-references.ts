/** Cross-declaration checks: every name that a declaration refers to must be declared. */
import {
  declarationKey,
  type Declaration,
  type DeclarationKey,
  type DeclarationKind,
  type DeclarationOf,
} from './schema.js';

/** An error that can be found only by checking the declarations as a set. */
export type DeclarationReferenceError = {
  readonly key: DeclarationKey;
  readonly path: string;
  readonly reason: string;
};

type Problem = { readonly path: string; readonly reason: string };
type IsDeclared = (kind: DeclarationKind, name: string) => boolean;

const checkDeclared = (
  isDeclared: IsDeclared,
  kind: DeclarationKind,
  path: string,
  name: string,
): Problem[] =>
  isDeclared(kind, name) ? [] : [{ path, reason: `no ${kind} named '${name}' is declared` }];

const checkService = ({ spec }: DeclarationOf<'Service'>, isDeclared: IsDeclared): Problem[] => [
  ...checkDeclared(isDeclared, 'Pool', 'spec.pool', spec.pool),
  ...checkDeclared(isDeclared, 'Team', 'spec.team', spec.team),
  ...(spec.minReady > spec.executors
    ? [{ path: 'spec.minReady', reason: `is above spec.executors (${spec.executors})` }]
    : []),
];

const checkers: {
  readonly [Kind in DeclarationKind]: (
    one: DeclarationOf<Kind>,
    isDeclared: IsDeclared,
  ) => Problem[];
} = {
  DataCentre: () => [],
  Pool: () => [],
  Team: () => [],
  HostGroup: ({ spec }, isDeclared) => [
    ...checkDeclared(isDeclared, 'DataCentre', 'spec.dataCentre', spec.dataCentre),
    ...checkDeclared(isDeclared, 'Pool', 'spec.pool', spec.pool),
  ],
  Service: checkService,
};

/**
 * Checks that every name that a declaration refers to is declared, and that no service requires
 * more ready executors than it has.
 *
 * @param declarations - The complete set of declarations.
 * @returns The errors; empty if the set is consistent.
 */
export const checkReferences = (
  declarations: readonly Declaration[],
): readonly DeclarationReferenceError[] => {
  const keys = new Set(declarations.map(declarationKey));
  const isDeclared: IsDeclared = (kind, name) => keys.has(`${kind}/${name}`);
  return declarations.flatMap((one) => {
    const check = checkers[one.kind] as (value: Declaration, isDeclared: IsDeclared) => Problem[];
    return check(one, isDeclared).map((problem) => ({ key: declarationKey(one), ...problem }));
  });
};
