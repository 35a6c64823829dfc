/** A small deployment in one process, for tests: stand-ins, relays and real entries. */
import {
  startPlatform,
  startRelay,
  startWorkers,
  type Relay,
  type StandInPlatform,
  type StandInWorkers,
} from '@valvelatch/stand-ins';
import { request, type Dispatcher } from 'undici';

import { startEntry, type Entry } from '../entry/entry.js';
import { checkSettings } from '../settings/settings.js';

export const OPERATOR_KEY = 'operator-key-for-tests';
const MESH_KEY = 'mesh-key-for-all-tests';
const STEP_MS = 25;

export type TestEntry = {
  readonly entryId: string;
  readonly dataCentre: string;
  readonly entry: Entry;
  /** Between the entry and the platform. */
  readonly platformRelay: Relay;
};

export type DeploymentOptions = {
  readonly dataCentres?: readonly string[];
  readonly seats?: number;
  readonly hosts?: number;
  readonly executors?: number;
  readonly minReady?: number;
  readonly slots?: number;
  readonly workMs?: number;
  readonly requestTimeoutMs?: number;
  readonly settings?: Readonly<Record<string, string>>;
};

export type Deployment = {
  readonly platform: StandInPlatform;
  readonly workers: ReadonlyMap<string, StandInWorkers>;
  readonly entries: TestEntry[];
  readonly addEntry: (dataCentre: string, entryId: string) => Promise<TestEntry>;
  readonly operate: (at: TestEntry, method: string, body: unknown) => Promise<OperatorAnswer>;
  readonly declarations: string;
  readonly close: () => Promise<void>;
};

export type OperatorAnswer = {
  readonly kind: string;
  readonly value: never;
  readonly detail: string;
};

export const pause = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

export const waitUntil = async (
  what: string,
  test: () => boolean | Promise<boolean>,
  ms = 20_000,
): Promise<void> => {
  const untilMs = performance.now() + ms;
  while (performance.now() < untilMs) {
    if (await test()) return;
    await pause(STEP_MS);
  }
  throw new Error(`${what} did not come about in ${ms} ms`);
};

const hostGroup = (dataCentre: string, hosts: number): string => `kind: HostGroup
name: ${dataCentre}-r1
labels: { disk: ssd }
spec: { dataCentre: ${dataCentre}, rack: ${dataCentre}-r1, pool: main, hosts: ${hosts}, cores: 32, memoryMb: 65536 }
`;

const writeDeclarations = ({
  dataCentres = ['east'],
  seats = 2,
  hosts = 4,
  executors = 2,
  minReady = 1,
  slots = 8,
  requestTimeoutMs = 2000,
}: DeploymentOptions): string =>
  [
    ...dataCentres.map(
      (name) => `kind: DataCentre\nname: ${name}\nspec: { region: here, entrySeats: ${seats} }\n`,
    ),
    'kind: Pool\nname: main\nspec: { reserveFor: none }\n',
    'kind: Pool\nname: spare\nspec: { reserveFor: none }\n',
    'kind: Team\nname: crew\nspec: { quotaCores: 64 }\n',
    ...dataCentres.map((name) => hostGroup(name, hosts)),
    `kind: Service
name: routing
spec: { pool: main, team: crew, executors: ${executors}, minReady: ${minReady}, slots: ${slots}, connections: 64, cores: 4, memoryMb: 4096, selector: 'disk=ssd', requestTimeoutMs: ${requestTimeoutMs} }
`,
  ].join('---\n');

const quickSettings = {
  'seat-lease-ms': '1200',
  'control-lease-ms': '800',
  'control-turn-ms': '50',
  'platform-timeout-ms': '400',
  'log-level': 'error',
};

/**
 * Starts a deployment and waits until every entry has endpoints.
 *
 * @param options - Its size; the defaults are one data centre, two entries, two executors.
 * @returns The running deployment.
 */
export const startDeployment = async (options: DeploymentOptions = {}): Promise<Deployment> => {
  const { dataCentres = ['east'], seats = 2, hosts = 4, executors = 2, workMs = 5 } = options;
  const declarations = writeDeclarations(options);
  const platform = await startPlatform({ listLagMs: 100, hostGoneAfterMs: 1200 });
  const workers = new Map<string, StandInWorkers>();
  const startWorkersOf = async (dataCentre: string) => {
    const hostIds = Array.from({ length: hosts }, (_, index) => `${dataCentre}-r1-${index + 1}`);
    workers.set(
      dataCentre,
      await startWorkers({
        dataCentre,
        hostIds,
        platformUrl: platform.url,
        rebootMs: 200,
        workMs,
      }),
    );
  };
  await Promise.all(dataCentres.map(startWorkersOf));
  const entries: TestEntry[] = [];

  const addEntry = async (dataCentre: string, entryId: string): Promise<TestEntry> => {
    const platformRelay = await startRelay(Number(new URL(platform.url).port));
    const settings = checkSettings({
      'entry-id': entryId,
      'data-centre': dataCentre,
      'platform-url': `http://127.0.0.1:${platformRelay.port}`,
      'workers-url': (workers.get(dataCentre) as StandInWorkers).url,
      'operator-key': OPERATOR_KEY,
      'mesh-key': MESH_KEY,
      seeds: entries.map(({ entry }) => entry.addresses.meshUrl).join(','),
      ...quickSettings,
      ...options.settings,
    }).unwrap();
    const entry = await startEntry(settings);
    const added = { entryId, dataCentre, entry, platformRelay };
    entries.push(added);
    return added;
  };

  const operate = async (at: TestEntry, method: string, body: unknown): Promise<OperatorAnswer> => {
    const answer = await request(`${at.entry.addresses.operatorsUrl}/v1/${method}`, {
      method: 'POST',
      headers: { 'content-type': 'application/json', authorization: `Bearer ${OPERATOR_KEY}` },
      body: JSON.stringify(body),
    });
    return (await answer.body.json()) as OperatorAnswer;
  };

  const seatsOf = dataCentres.flatMap((name) =>
    Array.from({ length: seats }, (_, seat) => ({ name, seat })),
  );
  for (let index = 0; index < seatsOf.length; index += 1) {
    const { name, seat } = seatsOf[index] as { name: string; seat: number };
    await addEntry(name, `${name}-entry-${seat}`);
  }
  const [first] = entries as [TestEntry];
  // Beside much other work the first call may miss the time-out of 2 s to the table; it can be repeated.
  await waitUntil('the declarations to be applied', async () => {
    const applied = await operate(first, 'apply', {
      files: [{ file: 'all.yaml', text: declarations }],
      waitMs: 5000,
    });
    if (applied.kind === 'unavailable') return false;
    if (applied.kind !== 'ok') throw new Error(JSON.stringify(applied));
    return true;
  });

  type EntryStatus = { seat: number | null; endpoints: { routing?: number } };
  await waitUntil('endpoints at every entry', async () => {
    const status = await operate(first, 'status', {});
    const { entries: all } = status.value as { entries: readonly EntryStatus[] };
    const placed = all.reduce((sum, { endpoints }) => sum + (endpoints?.routing ?? 0), 0);
    return all.every(({ seat }) => seat !== null) && placed === executors * seats;
  });
  await waitUntil('healthy entries', async () => {
    const answers = await Promise.all(
      entries.map(async ({ entry }) => {
        const answer = await request(`${entry.addresses.callersUrl}/healthz`);
        await answer.body.dump();
        return answer.statusCode;
      }),
    );
    return answers.every((status) => status === 200);
  });

  const close = async (): Promise<void> => {
    platform.setFault({ mode: 'none' });
    entries.forEach(({ platformRelay }) => platformRelay.heal());
    await Promise.all(entries.map(({ entry }) => entry.stop()));
    await Promise.all(entries.map(({ platformRelay }) => platformRelay.close()));
    await Promise.all(Array.from(workers.values(), (one) => one.close()));
    await platform.close();
  };

  return { platform, workers, entries, addEntry, operate, declarations, close };
};

export type Sent = {
  readonly status: number;
  readonly text: string;
  readonly verdict: string;
  readonly reason: string;
  readonly headers: Record<string, string | string[] | undefined>;
};

export type SendOptions = {
  readonly service?: string;
  readonly body?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly method?: Dispatcher.HttpMethod;
};

/**
 * Sends one request as a caller does.
 *
 * @param at - The entry.
 * @param options - The request; by default a repeatable POST to the service `routing`.
 * @returns The status, the body and the verdict.
 */
export const send = async (
  at: TestEntry,
  { service = 'routing', body = 'hello', headers = {}, method = 'POST' }: SendOptions = {},
): Promise<Sent> => {
  const isOnce = headers['idempotency-key'] !== undefined;
  const answer = await request(`${at.entry.addresses.callersUrl}/services/${service}/plan`, {
    method,
    headers: { ...(isOnce ? {} : { 'valvelatch-repeatable': 'true' }), ...headers },
    body,
  });
  return {
    status: answer.statusCode,
    text: await answer.body.text(),
    verdict: String(answer.headers['valvelatch-verdict'] ?? ''),
    reason: String(answer.headers['valvelatch-reason'] ?? ''),
    headers: answer.headers,
  };
};

/**
 * Counts how often a key was executed, over all data centres.
 *
 * @param deployment - The deployment.
 * @param key - The key.
 * @returns The count.
 */
export const executionsOf = ({ workers }: Deployment, key: string): number =>
  Array.from(workers.values()).reduce((sum, one) => sum + (one.report().executions[key] ?? 0), 0);
