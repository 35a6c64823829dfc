/** Handlers that explain decisions and report the status of the entries. */
import {
  findDecision,
  rowKey,
  type DecisionRecord,
  type HostRow,
  type JobRow,
  type Member,
  type PlacementRow,
  type WaveRow,
  type WithheldAction,
} from '@valvelatch/core';
import { z } from 'zod';

import {
  ENTRY_REQUEST_TIMEOUT_MS,
  otherMembers,
  type OperatorContext,
} from './operator-context.js';
import {
  ok,
  platformUnavailable,
  withBody,
  type Handler,
  type OperatorResult,
} from './operator-result.js';

const explainBody = z.strictObject({
  kind: z.enum(['job', 'host', 'request', 'wave']),
  name: z.string(),
});

const listWithheldActions = async (
  context: OperatorContext,
  subject: string,
): Promise<readonly WithheldAction[]> => {
  const answers = await Promise.all(
    otherMembers(context).map((member) =>
      context
        .request(member, 'withheld', { subject }, ENTRY_REQUEST_TIMEOUT_MS)
        .catch(() => [] as WithheldAction[]),
    ),
  );
  const own = context.listWithheldActions().filter((one) => one.subject === subject);
  return [...own, ...(answers.flat() as WithheldAction[])];
};

/**
 * Finds the latest decision about a subject whose row no longer exists, in the decision stores of all
 * entries. Undefined if no reachable entry has one.
 */
const findEndedDecision = async (
  context: OperatorContext,
  subject: string,
): Promise<DecisionRecord | undefined> => {
  const answers = await Promise.all(
    otherMembers(context).map((member) =>
      context
        .request(member, 'recall', { subject }, ENTRY_REQUEST_TIMEOUT_MS)
        .catch(() => undefined),
    ),
  );
  const known = [findDecision(context.decisions, subject), ...answers] as DecisionRecord[];
  return known.filter(Boolean).sort((a, b) => b.atMs - a.atMs)[0];
};

type RowReasons = { readonly reason: string; readonly phaseReason?: string };

const reasonsOf = (of: string, { reason, phaseReason = '' }: RowReasons) =>
  [reason, phaseReason].filter((text) => text !== '').map((text) => ({ of, reason: text }));

const explainRow = async (
  context: OperatorContext,
  key: string,
  relatedKeys: readonly string[],
): Promise<OperatorResult> => {
  const rows = await context.table.read([key, ...relatedKeys]);
  if (rows.isErr()) return platformUnavailable(rows.error);
  const found = rows.value.filter(({ value }) => value !== null);
  const withheldNow = await listWithheldActions(context, key);
  if (found.length === 0 && withheldNow.length === 0) {
    const ended = await findEndedDecision(context, key);
    return ended ? ok(ended) : { kind: 'not-found', detail: `nothing is known of ${key}` };
  }
  return ok({
    subject: key,
    revision: context.configSync.current().revision,
    reasons: [
      ...found.flatMap(({ key: rowName, value }) => reasonsOf(rowName, value as RowReasons)),
      ...withheldNow.map(({ reason }) => ({ of: 'withheld now', reason })),
    ],
    rows: found.map(({ value }) => value as PlacementRow | HostRow | JobRow | WaveRow),
  });
};

const explainRequest = async (context: OperatorContext, name: string): Promise<OperatorResult> => {
  const subject = `request/${name}`;
  const [entryId] = name.split('.');
  const member = context.members().find((one) => one.entryId === entryId);
  const isOwn = entryId === context.entryId;
  if (!isOwn && !member) {
    return { kind: 'not-found', detail: `entry ${entryId ?? ''} that decided is not there` };
  }
  const record = isOwn
    ? findDecision(context.decisions, subject)
    : ((await context
        .request(member as Member, 'recall', { subject }, ENTRY_REQUEST_TIMEOUT_MS)
        .catch(() => undefined)) as DecisionRecord | undefined);
  return record ? ok(record) : { kind: 'not-found', detail: `nothing is remembered of ${subject}` };
};

type Explainer = (context: OperatorContext, name: string) => Promise<OperatorResult>;

const explainers: Record<z.infer<typeof explainBody>['kind'], Explainer> = {
  job: (context, name) => explainRow(context, rowKey.placement(name), [rowKey.job(name)]),
  host: (context, name) => explainRow(context, rowKey.host(name), []),
  wave: (context, name) => explainRow(context, rowKey.wave(name), []),
  request: explainRequest,
};

const status = async (context: OperatorContext): Promise<OperatorResult> => {
  const entries = await Promise.all(
    otherMembers(context).map(async (member) => {
      const { entryId, dataCentre } = member;
      const answer = await context
        .request(member, 'status', {}, ENTRY_REQUEST_TIMEOUT_MS)
        .catch(() => ({ entryId, dataCentre, isUnreachable: true }));
      return answer;
    }),
  );
  return ok({
    revision: context.configSync.current().revision,
    entries: [context.ownStatus(), ...entries],
  });
};

/**
 * Builds the handlers for explanations and status.
 *
 * @param context - The dependencies of the handlers.
 * @returns The handlers, by method.
 */
export const explainHandlers = (
  context: OperatorContext,
): Readonly<Record<'explain' | 'status', Handler>> => ({
  explain: withBody(explainBody, ({ kind, name }) => explainers[kind](context, name)),
  status: withBody(z.strictObject({}), () => status(context)),
});
