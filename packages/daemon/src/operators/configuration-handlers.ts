/** Handlers that apply declarations and compare them with the current configuration. */
import { randomUUID } from 'node:crypto';

import { brand, diffConfiguration, parseDeclarations, type ChangeId } from '@valvelatch/core';
import { z } from 'zod';

import { otherMembers, type OperatorContext } from './operator-context.js';
import {
  ok,
  platformUnavailable,
  withBody,
  type Handler,
  type OperatorResult,
} from './operator-result.js';

/** Files with declarations, as they are sent in a request body. */
export const files = z.array(z.strictObject({ file: z.string(), text: z.string() }));
const applyBody = z.strictObject({
  files,
  baseRevision: z.number().int().min(0).optional(),
  author: z.string().default('operator'),
  waitMs: z.number().int().min(0).max(60_000).default(0),
});

/**
 * Waits up to `waitMs` for the other entries to apply a revision, and lists the entries that have
 * applied it and those that haven't confirmed it.
 */
const awaitRevision = async (context: OperatorContext, revision: number, waitMs: number) => {
  const answers = await Promise.all(
    otherMembers(context).map(async (member) => {
      try {
        await context.request(member, 'await-revision', { revision, waitMs }, waitMs);
        return { entryId: member.entryId, isInForce: true };
      } catch {
        return { entryId: member.entryId, isInForce: false };
      }
    }),
  );
  return {
    inForce: [context.entryId, ...answers.filter((one) => one.isInForce).map((one) => one.entryId)],
    unreachable: answers.filter((one) => !one.isInForce).map((one) => one.entryId),
  };
};

const apply = async (
  context: OperatorContext,
  body: z.infer<typeof applyBody>,
): Promise<OperatorResult> => {
  const { configSync } = context;
  const read = parseDeclarations(body.files);
  if (read.isErr()) {
    return { kind: 'invalid', detail: 'nothing was applied', faults: read.error };
  }
  const outcome = await configSync.apply({
    declarations: read.value,
    baseRevision: body.baseRevision ?? configSync.current().revision,
    author: body.author,
    changeId: brand<ChangeId>(randomUUID()),
  });
  if (outcome.isErr()) {
    if (outcome.error.kind === 'platform') return platformUnavailable(outcome.error.error);
    return {
      kind: 'conflict',
      detail: `another operator's change came first, at revision ${outcome.error.revision}`,
      value: outcome.error,
    };
  }
  const reach =
    body.waitMs > 0 ? await awaitRevision(context, outcome.value.revision, body.waitMs) : {};
  return ok({ ...outcome.value, ...reach });
};

const diff = async (
  { configSync }: OperatorContext,
  body: z.infer<typeof applyBody>,
): Promise<OperatorResult> => {
  const read = parseDeclarations(body.files);
  if (read.isErr()) return { kind: 'invalid', detail: 'not comparable', faults: read.error };
  await configSync.poll();
  const current = configSync.current();
  return ok({ revision: current.revision, difference: diffConfiguration(current, read.value) });
};

/**
 * Builds the handlers for configuration.
 *
 * @param context - The dependencies of the handlers.
 * @returns The handlers, by method.
 */
export const configurationHandlers = (
  context: OperatorContext,
): Readonly<Record<'apply' | 'diff', Handler>> => ({
  apply: withBody(applyBody, (body) => apply(context, body)),
  diff: withBody(applyBody, (body) => diff(context, body)),
});
