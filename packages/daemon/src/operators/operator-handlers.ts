/** What operators can ask for, by name. */
import { randomUUID } from 'node:crypto';

import {
  brand,
  declaredHosts,
  declarationsOf,
  differenceOf,
  matches,
  parseSelector,
  readDeclarations,
  readJobs,
  recallDecision,
  rowKey,
  rowPrefix,
  type ChangeId,
  type DecisionMemory,
  type DecisionRecord,
  type DeclarationFile,
  type DrainPurpose,
  type HostRow,
  type JobRow,
  type Member,
  type PlacementRow,
  type PoolName,
  type WaveId,
  type WavePhase,
  type WaveRow,
  type Withheld,
} from '@valvelatch/core';
import type { PlatformError, TableClient } from '@valvelatch/platform';
import { z } from 'zod';

import type { ConfigSync } from '../config-sync/config-sync.js';

/** What an operator gets back. */
export type OperatorResult =
  | { readonly kind: 'ok'; readonly value: unknown }
  | { readonly kind: 'invalid'; readonly detail: string; readonly faults?: unknown }
  | { readonly kind: 'conflict'; readonly detail: string; readonly value?: unknown }
  | { readonly kind: 'not-found'; readonly detail: string }
  | { readonly kind: 'unavailable'; readonly detail: string };

/** How one entry stands, for a status. */
export type EntryStatus = {
  readonly entryId: string;
  readonly dataCentre: string;
  readonly revision: number;
  readonly seat: number | null;
  readonly controls: readonly string[];
  readonly endpoints: Readonly<Record<string, number>>;
};

/** What the handlers depend on. */
export type OperatorContext = {
  readonly table: TableClient;
  readonly configSync: ConfigSync;
  readonly decisions: DecisionMemory;
  readonly withheld: () => readonly Withheld[];
  readonly ownStatus: () => EntryStatus;
  readonly members: () => readonly Member[];
  /** Asks another entry; rejects where it cannot be reached. */
  readonly ask: (member: Member, method: string, payload: unknown, ms: number) => Promise<unknown>;
  readonly self: string;
};

type Handler = (body: unknown) => Promise<OperatorResult>;

/** The handlers, by the name that the command line sends. */
export type OperatorHandlers = Readonly<
  Record<
    | 'apply'
    | 'diff'
    | 'get'
    | 'host-drain'
    | 'host-return'
    | 'host-move'
    | 'job-submit'
    | 'job-cancel'
    | 'wave-start'
    | 'wave-change'
    | 'doubt-clear'
    | 'explain'
    | 'status',
    Handler
  >
>;

const files = z.array(z.strictObject({ file: z.string(), text: z.string() }));
const applyBody = z.strictObject({
  files,
  baseRevision: z.number().int().min(0).optional(),
  author: z.string().default('operator'),
  waitMs: z.number().int().min(0).max(60_000).default(0),
});
const getBody = z.strictObject({
  kind: z.enum(['config', 'pools', 'hosts', 'jobs', 'placements', 'waves']),
  selector: z.string().default(''),
});
const hostBody = z.strictObject({ hostId: z.string(), toPool: z.string().optional() });
const nameBody = z.strictObject({ name: z.string() });
const waveStartBody = z.strictObject({
  name: z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/),
  selector: z.string(),
});
const waveChangeBody = z.strictObject({
  name: z.string(),
  change: z.enum(['hold', 'resume', 'cancel']),
});
const explainBody = z.strictObject({
  kind: z.enum(['job', 'host', 'request', 'wave']),
  name: z.string(),
});

const ASK_MS = 2000;

const ok = (value: unknown): OperatorResult => ({ kind: 'ok', value });
const unavailable = ({ detail }: PlatformError): OperatorResult => ({
  kind: 'unavailable',
  detail: `the platform does not answer: ${detail}`,
});

const selectorFault = (error: {
  position: number;
  message: string;
  text: string;
}): OperatorResult => ({
  kind: 'invalid',
  detail: `selector '${error.text}', character ${error.position + 1}: ${error.message}`,
});

const withBody =
  <Schema extends z.ZodType>(
    schema: Schema,
    handle: (body: z.infer<Schema>) => Promise<OperatorResult>,
  ): Handler =>
  async (raw) => {
    const parsed = schema.safeParse(raw);
    if (parsed.success) return handle(parsed.data);
    const [issue] = parsed.error.issues;
    return { kind: 'invalid', detail: `${issue?.path.join('.') ?? ''}: ${issue?.message ?? ''}` };
  };

/**
 * Builds the handlers.
 *
 * @param context - The table, the configuration and the way to other entries.
 * @returns The handlers.
 */
export const createOperatorHandlers = (context: OperatorContext): OperatorHandlers => {
  const { table, configSync } = context;

  const scan = async <Row>(prefix: string) =>
    (await table.scan(prefix)).map((rows) =>
      rows.map(({ key, value, version }) => ({ key, value: value as Row, version })),
    );

  /** Changes one row, if it is still as it was read; tells the racing operator otherwise. */
  const changeRow = async <Row>(
    key: string,
    change: (row: Row) => Row | string,
  ): Promise<OperatorResult> => {
    const rows = await table.read([key]);
    if (rows.isErr()) return unavailable(rows.error);
    const [row] = rows.value;
    if (!row || row.value === null) return { kind: 'not-found', detail: `there is no ${key}` };
    const next = change(row.value as Row);
    if (typeof next === 'string') return { kind: 'conflict', detail: next };
    const outcome = await table.transact({
      checks: [{ key, version: row.version }],
      writes: [{ key, value: next }],
    });
    if (outcome.isErr()) return unavailable(outcome.error);
    return outcome.value.kind === 'committed'
      ? ok(next)
      : { kind: 'conflict', detail: `${key} was changed by another at the same moment` };
  };

  const inForce = async (revision: number, waitMs: number) => {
    const others = context.members().filter(({ entryId }) => entryId !== context.self);
    const answers = await Promise.all(
      others.map(async (member) => {
        try {
          await context.ask(member, 'await-revision', { revision, waitMs }, waitMs);
          return { entryId: member.entryId, isInForce: true };
        } catch {
          return { entryId: member.entryId, isInForce: false };
        }
      }),
    );
    return {
      inForce: [context.self, ...answers.filter((one) => one.isInForce).map((one) => one.entryId)],
      unreachable: answers.filter((one) => !one.isInForce).map((one) => one.entryId),
    };
  };

  const applyHandler = async (body: z.infer<typeof applyBody>): Promise<OperatorResult> => {
    const read = readDeclarations(body.files);
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
      if (outcome.error.kind === 'platform') return unavailable(outcome.error.error);
      return {
        kind: 'conflict',
        detail: `another operator's change came first, at revision ${outcome.error.revision}`,
        value: outcome.error,
      };
    }
    const reach = body.waitMs > 0 ? await inForce(outcome.value.revision, body.waitMs) : {};
    return ok({ ...outcome.value, ...reach });
  };

  const diffHandler = async (body: z.infer<typeof applyBody>): Promise<OperatorResult> => {
    const read = readDeclarations(body.files);
    if (read.isErr()) return { kind: 'invalid', detail: 'not comparable', faults: read.error };
    await configSync.poll();
    const current = configSync.current();
    return ok({ revision: current.revision, difference: differenceOf(current, read.value) });
  };

  const listHosts = async (selectorText: string): Promise<OperatorResult> => {
    const selector = parseSelector(selectorText);
    if (selector.isErr()) return selectorFault(selector.error);
    const rows = await scan<HostRow>(rowPrefix.host);
    if (rows.isErr()) return unavailable(rows.error);
    const specs = new Map(declaredHosts(configSync.current()).map((spec) => [spec.hostId, spec]));
    return ok(
      rows.value
        .map(({ value }) => ({ ...specs.get(value.hostId), ...value }))
        .filter(({ labels = {}, pool }) => matches(selector.value, { ...labels, pool })),
    );
  };

  const listPools = async (): Promise<OperatorResult> => {
    const rows = await scan<HostRow>(rowPrefix.host);
    if (rows.isErr()) return unavailable(rows.error);
    return ok(
      declarationsOf(configSync.current(), 'Pool').map(({ name, spec }) => ({
        pool: name,
        ...spec,
        hosts: rows.value.filter(({ value }) => value.pool === name).length,
        inUse: rows.value.filter(({ value }) => value.pool === name && value.phase === 'assigned')
          .length,
      })),
    );
  };

  const listRows = (prefix: string) => async (): Promise<OperatorResult> => {
    const rows = await scan(prefix);
    return rows.isErr() ? unavailable(rows.error) : ok(rows.value.map(({ value }) => value));
  };

  const listers: Record<
    z.infer<typeof getBody>['kind'],
    (selector: string) => Promise<OperatorResult>
  > = {
    config: async () =>
      ok({
        revision: configSync.current().revision,
        declarations: Array.from(configSync.current().declarations.values()),
      }),
    pools: listPools,
    hosts: listHosts,
    jobs: listRows(rowPrefix.job),
    placements: listRows(rowPrefix.placement),
    waves: listRows(rowPrefix.wave),
  };

  const drainHost = (hostId: string, drain: DrainPurpose, reason: string) =>
    changeRow<HostRow>(rowKey.host(hostId), (row) =>
      row.phase === 'assigned' || row.phase === 'quarantined'
        ? { ...row, phase: 'draining', drain, reason }
        : `host ${hostId} is ${row.phase} already: ${row.reason}`,
    );

  const moveHost = async ({ hostId, toPool }: z.infer<typeof hostBody>) => {
    const known = declarationsOf(configSync.current(), 'Pool').some(({ name }) => name === toPool);
    if (toPool === undefined || !known) {
      return { kind: 'invalid' as const, detail: `no Pool named '${toPool ?? ''}' is declared` };
    }
    const purpose: DrainPurpose = { kind: 'transfer', toPool: brand<PoolName>(toPool) };
    return drainHost(hostId, purpose, `an operator moves it to pool=${toPool}`);
  };

  const returnHost = ({ hostId }: z.infer<typeof hostBody>) =>
    changeRow<HostRow>(rowKey.host(hostId), (row) =>
      row.phase === 'quarantined' ||
      row.drain?.kind === 'operator' ||
      row.drain?.kind === 'transfer'
        ? { ...row, phase: 'assigned', drain: null, reason: 'an operator returned it to use' }
        : `host ${hostId} is ${row.phase}: ${row.reason}`,
    );

  const submitJobs = async ({ files: given }: { files: readonly DeclarationFile[] }) => {
    const read = readJobs(given);
    if (read.isErr()) {
      return { kind: 'invalid' as const, detail: 'nothing was submitted', faults: read.error };
    }
    const rows = read.value.map((job) => ({
      key: rowKey.job(job.name),
      value: { job, phase: 'pending', failures: 0, failedOn: [], reason: 'submitted' },
    }));
    const outcome = await table.transact({
      checks: rows.map(({ key }) => ({ key, version: 0 })),
      writes: rows,
    });
    if (outcome.isErr()) return unavailable(outcome.error);
    return outcome.value.kind === 'committed'
      ? ok({ submitted: read.value.map(({ name }) => name) })
      : {
          kind: 'conflict' as const,
          detail: `${outcome.value.key} exists already; nothing was submitted`,
        };
  };

  const startWave = async ({ name, selector: text }: z.infer<typeof waveStartBody>) => {
    const selector = parseSelector(text);
    if (selector.isErr()) return selectorFault(selector.error);
    const hostRows = await scan<HostRow>(rowPrefix.host);
    if (hostRows.isErr()) return unavailable(hostRows.error);
    const pools = new Map(hostRows.value.map(({ value }) => [value.hostId, value.pool]));
    const hosts = declaredHosts(configSync.current())
      .filter(({ hostId, labels }) =>
        matches(selector.value, { ...labels, pool: pools.get(hostId) ?? '' }),
      )
      .map(({ hostId }) => hostId);
    if (hosts.length === 0) {
      return { kind: 'invalid' as const, detail: `selector '${text}' matches no host` };
    }
    const waveId = brand<WaveId>(name);
    const key = rowKey.wave(name);
    const row: WaveRow = { waveId, selector: text, phase: 'running', reason: 'started', hosts };
    const outcome = await table.transact({
      checks: [{ key, version: 0 }],
      writes: [{ key, value: row }],
    });
    if (outcome.isErr()) return unavailable(outcome.error);
    return outcome.value.kind === 'committed'
      ? ok(row)
      : { kind: 'conflict' as const, detail: `a wave named ${name} exists already` };
  };

  const phaseAfter: Record<z.infer<typeof waveChangeBody>['change'], WavePhase> = {
    hold: 'held',
    resume: 'running',
    cancel: 'cancelled',
  };

  const changeWave = ({ name, change }: z.infer<typeof waveChangeBody>) =>
    changeRow<WaveRow>(rowKey.wave(name), (row) =>
      row.phase === 'done' || row.phase === 'cancelled'
        ? `wave ${name} is ${row.phase} already`
        : { ...row, phase: phaseAfter[change], reason: `an operator: ${change}` },
    );

  const cancelJob = ({ name }: z.infer<typeof nameBody>) =>
    changeRow<JobRow>(rowKey.job(name), (row) =>
      row.phase === 'pending'
        ? { ...row, phase: 'cancelled', reason: 'an operator cancelled it' }
        : `job ${name} is ${row.phase} already`,
    );

  /** An operator vouches that no claim of a replaced data centre matters any more. */
  const clearDoubt = async (): Promise<OperatorResult> => {
    const rows = await table.read([rowKey.doubt]);
    if (rows.isErr()) return unavailable(rows.error);
    const [row] = rows.value;
    if (!row || row.value === null) return { kind: 'not-found', detail: 'there is no doubt' };
    const outcome = await table.transact({
      checks: [{ key: rowKey.doubt, version: row.version }],
      writes: [{ key: rowKey.doubt, value: null }],
    });
    if (outcome.isErr()) return unavailable(outcome.error);
    return outcome.value.kind === 'committed'
      ? ok(row.value)
      : { kind: 'conflict', detail: 'the doubt has changed; look at it again' };
  };

  const askAllWithheld = async (subject: string): Promise<readonly Withheld[]> => {
    const others = context.members().filter(({ entryId }) => entryId !== context.self);
    const answers = await Promise.all(
      others.map((member) =>
        context.ask(member, 'withheld', { subject }, ASK_MS).catch(() => [] as Withheld[]),
      ),
    );
    const own = context.withheld().filter((one) => one.subject === subject);
    return [...own, ...(answers.flat() as Withheld[])];
  };

  const explainRow = async (key: string, more: readonly string[]): Promise<OperatorResult> => {
    const rows = await table.read([key, ...more]);
    if (rows.isErr()) return unavailable(rows.error);
    const found = rows.value.filter(({ value }) => value !== null);
    const withheldNow = await askAllWithheld(key);
    if (found.length === 0 && withheldNow.length === 0) {
      return { kind: 'not-found', detail: `nothing is known of ${key}` };
    }
    return ok({
      subject: key,
      revision: configSync.current().revision,
      reasons: [
        ...found.map(({ key: rowName, value }) => ({
          of: rowName,
          reason: (value as { reason: string }).reason,
        })),
        ...withheldNow.map(({ reason }) => ({ of: 'withheld now', reason })),
      ],
      rows: found.map(({ value }) => value as PlacementRow | HostRow | JobRow | WaveRow),
    });
  };

  const explainRequest = async (name: string): Promise<OperatorResult> => {
    const subject = `request/${name}`;
    const [entryId] = name.split('.');
    const member = context.members().find((one) => one.entryId === entryId);
    const isOwn = entryId === context.self;
    if (!isOwn && !member) {
      return { kind: 'not-found', detail: `entry ${entryId ?? ''} that decided is not there` };
    }
    const record = isOwn
      ? recallDecision(context.decisions, subject)
      : ((await context
          .ask(member as Member, 'recall', { subject }, ASK_MS)
          .catch(() => undefined)) as DecisionRecord | undefined);
    return record
      ? ok(record)
      : { kind: 'not-found', detail: `nothing is remembered of ${subject}` };
  };

  const explainers: Record<
    z.infer<typeof explainBody>['kind'],
    (name: string) => Promise<OperatorResult>
  > = {
    job: (name) => explainRow(rowKey.placement(name), [rowKey.job(name)]),
    host: (name) => explainRow(rowKey.host(name), []),
    wave: (name) => explainRow(rowKey.wave(name), []),
    request: explainRequest,
  };

  const status = async (): Promise<OperatorResult> => {
    const others = context.members().filter(({ entryId }) => entryId !== context.self);
    const entries = await Promise.all(
      others.map(async (member) => {
        const { entryId, dataCentre } = member;
        const answer = await context
          .ask(member, 'status', {}, ASK_MS)
          .catch(() => ({ entryId, dataCentre, isUnreachable: true }));
        return answer;
      }),
    );
    return ok({
      revision: configSync.current().revision,
      entries: [context.ownStatus(), ...entries],
    });
  };

  return {
    apply: withBody(applyBody, applyHandler),
    diff: withBody(applyBody, diffHandler),
    get: withBody(getBody, ({ kind, selector }) => listers[kind](selector)),
    'host-drain': withBody(hostBody, ({ hostId }) =>
      drainHost(hostId, { kind: 'operator' }, 'an operator drains it'),
    ),
    'host-return': withBody(hostBody, returnHost),
    'host-move': withBody(hostBody, moveHost),
    'job-submit': withBody(z.strictObject({ files }), submitJobs),
    'job-cancel': withBody(nameBody, cancelJob),
    'wave-start': withBody(waveStartBody, startWave),
    'wave-change': withBody(waveChangeBody, changeWave),
    'doubt-clear': withBody(z.strictObject({}), clearDoubt),
    explain: withBody(explainBody, ({ kind, name }) => explainers[kind](name)),
    status: withBody(z.strictObject({}), status),
  };
};
