/**
 * The kinds of declaration that operators keep in version control, with the schema of each kind.
 */
import { z } from 'zod';

import { parseSelector } from '../selectors/parse-selector.js';

const NAME = /^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$/;
const LABEL_VALUE = /^[A-Za-z0-9]([A-Za-z0-9_.-]{0,61}[A-Za-z0-9])?$/;

const name = z.string().regex(NAME, 'expected lower-case letters, digits and inner hyphens');
const labels = z.record(z.string(), z.string().regex(LABEL_VALUE)).default({});
const count = (max: number) => z.number().int().min(0).max(max);

/**
 * A selector in the operators' selector grammar; its syntax is checked when the declaration is
 * read.
 */
export const selectorSchema = z
  .string()
  .default('')
  .superRefine((text, context) => {
    const result = parseSelector(text);
    if (result.isOk()) return;
    const { position, message } = result.error;
    context.addIssue({
      code: 'custom',
      message: `selector, character ${position + 1}: ${message}`,
    });
  });

const resources = {
  cores: z.number().positive().max(4096),
  memoryMb: z.number().int().positive(),
  accelerators: count(64).default(0),
};

/**
 * The urgency of a job: determines its start order and which job is preempted on an overloaded
 * host.
 */
export const urgencySchema = z.enum(['urgent', 'normal', 'batch']);

const dataCentreSpec = z.strictObject({
  region: name,
  /**
   * The maximum number of entries in this data centre that share its endpoints at the same time.
   */
  entrySeats: z.number().int().min(1).max(64),
});

const poolSpec = z.strictObject({
  /** Whether maintenance of this pool favours a fast roll-out or few moves when they conflict. */
  prefer: z.enum(['roll-out', 'moves']).default('roll-out'),
  /** The largest correlated failure that the pool must survive during maintenance. */
  reserveFor: z.enum(['none', 'host', 'rack', 'data-centre']).default('rack'),
  quotaCores: z.number().positive().optional(),
});

const teamSpec = z.strictObject({
  quotaCores: z.number().positive(),
  quotaAccelerators: count(100_000).default(0),
});

const hostGroupSpec = z.strictObject({
  dataCentre: name,
  rack: name,
  pool: name,
  hosts: z.number().int().min(1).max(1000),
  ...resources,
});

const serviceSpec = z.strictObject({
  pool: name,
  team: name,
  executors: z.number().int().min(1).max(10_000),
  /** The availability budget: the minimum number of executors that must be ready at any time. */
  minReady: z.number().int().min(0),
  slots: z.number().int().min(1).max(1024),
  connections: z.number().int().min(1).max(65_535),
  selector: selectorSchema,
  requestTimeoutMs: z.number().int().min(1).max(600_000).default(5000),
  ...resources,
});

const jobSpec = z.strictObject({
  pool: name,
  team: name,
  urgency: urgencySchema.default('normal'),
  selector: selectorSchema,
  runTimeS: z.number().positive().default(60),
  leaseS: z.number().positive().max(86_400).default(30),
  ...resources,
});

const declaration = <Kind extends string, Spec extends z.ZodType>(kind: Kind, spec: Spec) =>
  z.strictObject({ kind: z.literal(kind), name, labels, spec });

/** A declaration of any kind that is part of the configuration. */
export const declarationSchema = z.discriminatedUnion('kind', [
  declaration('DataCentre', dataCentreSpec),
  declaration('Pool', poolSpec),
  declaration('Team', teamSpec),
  declaration('HostGroup', hostGroupSpec),
  declaration('Service', serviceSpec),
]);

/** A job. It is submitted by a command and stored as a row; it is not part of the configuration. */
export const jobDeclarationSchema = declaration('Job', jobSpec);

export type Declaration = z.infer<typeof declarationSchema>;
export type DeclarationKind = Declaration['kind'];
export type DeclarationOf<Kind extends DeclarationKind> = Extract<Declaration, { kind: Kind }>;
export type JobDeclaration = z.infer<typeof jobDeclarationSchema>;
export type Urgency = z.infer<typeof urgencySchema>;

/** The key of a declaration in a configuration. */
export type DeclarationKey = `${DeclarationKind}/${string}`;

/**
 * Builds the key of a declaration.
 *
 * @param one - The kind and name of the declaration.
 * @returns The key, for example `Service/routing`.
 */
export const declarationKey = (one: { kind: DeclarationKind; name: string }): DeclarationKey =>
  `${one.kind}/${one.name}`;
