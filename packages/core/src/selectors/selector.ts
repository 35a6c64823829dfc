/** Label selectors: the parsed form, and how it is matched against labels. */

/** The labels of a host, a job or a service. */
export type Labels = Readonly<Record<string, string>>;

/** One condition on one label. All conditions of a selector must hold. */
export type Requirement =
  | { readonly operator: 'exists'; readonly key: string }
  | { readonly operator: 'does-not-exist'; readonly key: string }
  | { readonly operator: 'in'; readonly key: string; readonly values: readonly string[] }
  | { readonly operator: 'not-in'; readonly key: string; readonly values: readonly string[] };

/** A parsed selector, with the text that the operator wrote. */
export type Selector = {
  readonly text: string;
  readonly requirements: readonly Requirement[];
};

type Operator = Requirement['operator'];
type RequirementOf<Name extends Operator> = Extract<Requirement, { operator: Name }>;

const matchers: {
  readonly [Name in Operator]: (requirement: RequirementOf<Name>, value?: string) => boolean;
} = {
  exists: (_, value) => value !== undefined,
  'does-not-exist': (_, value) => value === undefined,
  in: ({ values }, value) => value !== undefined && values.includes(value),
  'not-in': ({ values }, value) => value === undefined || !values.includes(value),
};

/** Returns the value of a label, or undefined if there is no such label. */
export type LabelLookup = (key: string) => string | undefined;

const meets = (requirement: Requirement, value: string | undefined): boolean => {
  const matcher = matchers[requirement.operator] as (
    candidate: Requirement,
    value?: string,
  ) => boolean;
  return matcher(requirement, value);
};

/**
 * Finds the first requirement that is not met.
 *
 * @param selector - The selector.
 * @param lookup - Returns the value of a label.
 * @returns The first requirement that the labels do not meet, or undefined if they match.
 */
export const findUnmetRequirement = (
  selector: Selector,
  lookup: LabelLookup,
): Requirement | undefined =>
  selector.requirements.find((requirement) => !meets(requirement, lookup(requirement.key)));

/**
 * Checks whether labels match a selector.
 *
 * @param selector - The selector.
 * @param labels - The labels.
 * @returns True if every requirement is met.
 */
export const matchesSelector = (selector: Selector, labels: Labels): boolean =>
  findUnmetRequirement(selector, (key) => labels[key]) === undefined;

const formatters: {
  readonly [Name in Operator]: (requirement: RequirementOf<Name>) => string;
} = {
  exists: ({ key }) => key,
  'does-not-exist': ({ key }) => `!${key}`,
  in: ({ key, values }) =>
    values.length === 1 ? `${key}=${values[0]}` : `${key} in (${values.join(',')})`,
  'not-in': ({ key, values }) =>
    values.length === 1 ? `${key}!=${values[0]}` : `${key} notin (${values.join(',')})`,
};

/**
 * Formats a requirement in the grammar that operators write.
 *
 * @param requirement - The requirement.
 * @returns Its text, for example `rack in (r1,r2)`.
 */
export const formatRequirement = (requirement: Requirement): string =>
  (formatters[requirement.operator] as (candidate: Requirement) => string)(requirement);
