/** A small deployment in one process for tests: real entries, relays, and stand-ins for the platform and workers. */
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
import { validateSettings } from '../settings/settings.js';

export const OPERATOR_KEY = 'operator-key-for-tests';
const MESH_KEY = 'mesh-key-for-all-tests';
/** Interval at which a condition is checked. */
const CHECK_INTERVAL_MS = 25;

export type TestEntry = {
  readonly entryId: string;
  readonly dataCentre: string;
  readonly entry: Entry;
  /** Relay between the entry and the platform, through which a test can cut the connection. */
  readonly platformRelay: Relay;
};

/** Size and behaviour of a deployment. */
export type DeploymentOptions = {
  readonly dataCentres?: readonly string[];
  /** Entries and seats of each data centre. */
  readonly seats?: number;
  /** Hosts of each data centre. */
  readonly hosts?: number;
  readonly executors?: number;
  readonly minReady?: number;
  readonly slots?: number;
  /** Time that a stand-in worker takes for a request, in milliseconds. */
  readonly workMs?: number;
  readonly requestTimeoutMs?: number;
  /** Settings of the entries that replace the defaults of the tests. */
  readonly settings?: Readonly<Record<string, string>>;
};

/** A running deployment. */
export type Deployment = {
  readonly platform: StandInPlatform;
  /** The stand-in workers by data centre. */
  readonly workers: ReadonlyMap<string, StandInWorkers>;
  readonly entries: TestEntry[];
  readonly addEntry: (dataCentre: string, entryId: string) => Promise<TestEntry>;
  /** Calls a method of an entry's operators API. */
  readonly callOperatorApi: (
    testEntry: TestEntry,
    method: string,
    body: unknown,
  ) => Promise<OperatorResponse>;
  readonly declarations: string;
  readonly close: () => Promise<void>;
};

export type OperatorResponse = {
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
  const deadlineMs = performance.now() + ms;
  while (performance.now() < deadlineMs) {
    if (await test()) return;
    await pause(CHECK_INTERVAL_MS);
  }
  throw new Error(`waiting for ${what}: timed out after ${ms} ms`);
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

const shortTimingSettings = {
  'seat-lease-ms': '1200',
  'control-lease-ms': '800',
  'control-turn-ms': '50',
  'platform-timeout-ms': '400',
  'log-level': 'error',
};

/**
 * Starts a deployment and waits until every entry has endpoints and reports itself healthy.
 *
 * @param options - Its size and behaviour; the defaults are one data centre, two entries and two executors.
 * @returns The running deployment.
 */
export const startDeployment = async (options: DeploymentOptions = {}): Promise<Deployment> => {
  const { dataCentres = ['east'], seats = 2, hosts = 4, executors = 2, workMs = 5 } = options;
  const declarations = writeDeclarations(options);
  const platform = await startPlatform({ listLagMs: 100, hostGoneAfterMs: 1200 });
  const workers = new Map<string, StandInWorkers>();
  const startWorkersIn = async (dataCentre: string) => {
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
  await Promise.all(dataCentres.map(startWorkersIn));
  const entries: TestEntry[] = [];

  const addEntry = async (dataCentre: string, entryId: string): Promise<TestEntry> => {
    const platformRelay = await startRelay(Number(new URL(platform.url).port));
    const settings = validateSettings({
      'entry-id': entryId,
      'data-centre': dataCentre,
      'platform-url': `http://127.0.0.1:${platformRelay.port}`,
      'workers-url': (workers.get(dataCentre) as StandInWorkers).url,
      'operator-key': OPERATOR_KEY,
      'mesh-key': MESH_KEY,
      seeds: entries.map(({ entry }) => entry.addresses.meshUrl).join(','),
      ...shortTimingSettings,
      ...options.settings,
    }).unwrap();
    const entry = await startEntry(settings);
    const added = { entryId, dataCentre, entry, platformRelay };
    entries.push(added);
    return added;
  };

  const callOperatorApi = async (
    testEntry: TestEntry,
    method: string,
    body: unknown,
  ): Promise<OperatorResponse> => {
    const response = await request(`${testEntry.entry.addresses.operatorsUrl}/v1/${method}`, {
      method: 'POST',
      headers: { 'content-type': 'application/json', authorization: `Bearer ${OPERATOR_KEY}` },
      body: JSON.stringify(body),
    });
    return (await response.body.json()) as OperatorResponse;
  };

  const allSeats = dataCentres.flatMap((name) =>
    Array.from({ length: seats }, (_, seat) => ({ name, seat })),
  );
  for (let index = 0; index < allSeats.length; index += 1) {
    const { name, seat } = allSeats[index] as { name: string; seat: number };
    await addEntry(name, `${name}-entry-${seat}`);
  }
  const [first] = entries as [TestEntry];
  // On a busy machine the first call may exceed the 2 s timeout of the table; it is safe to repeat.
  await waitUntil('the declarations to be applied', async () => {
    const applied = await callOperatorApi(first, 'apply', {
      files: [{ file: 'all.yaml', text: declarations }],
      waitMs: 5000,
    });
    if (applied.kind === 'unavailable') return false;
    if (applied.kind !== 'ok') throw new Error(JSON.stringify(applied));
    return true;
  });

  type EntryStatus = { seat: number | null; endpoints: { routing?: number } };
  await waitUntil('endpoints at every entry', async () => {
    const status = await callOperatorApi(first, 'status', {});
    const { entries: statuses } = status.value as { entries: readonly EntryStatus[] };
    const endpointCount = statuses.reduce(
      (sum, { endpoints }) => sum + (endpoints?.routing ?? 0),
      0,
    );
    return statuses.every(({ seat }) => seat !== null) && endpointCount === executors * seats;
  });
  await waitUntil('healthy entries', async () => {
    const statusCodes = await Promise.all(
      entries.map(async ({ entry }) => {
        const response = await request(`${entry.addresses.callersUrl}/healthz`);
        await response.body.dump();
        return response.statusCode;
      }),
    );
    return statusCodes.every((status) => status === 200);
  });

  const close = async (): Promise<void> => {
    platform.setFault({ mode: 'none' });
    entries.forEach(({ platformRelay }) => platformRelay.heal());
    await Promise.all(entries.map(({ entry }) => entry.stop()));
    await Promise.all(entries.map(({ platformRelay }) => platformRelay.close()));
    await Promise.all(Array.from(workers.values(), (standIn) => standIn.close()));
    await platform.close();
  };

  return { platform, workers, entries, addEntry, callOperatorApi, declarations, close };
};

/** Response to a request, with its verdict and the reason of a refusal. */
export type SendResult = {
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
 * Sends one request to the callers port.
 *
 * @param at - The entry.
 * @param options - The request; by default a repeatable POST to the service `routing`.
 * @returns The status, the body, the verdict, the reason of a refusal and the headers.
 */
export const send = async (
  testEntry: TestEntry,
  { service = 'routing', body = 'hello', headers = {}, method = 'POST' }: SendOptions = {},
): Promise<SendResult> => {
  const hasIdempotencyKey = headers['idempotency-key'] !== undefined;
  const response = await request(
    `${testEntry.entry.addresses.callersUrl}/services/${service}/plan`,
    {
      method,
      headers: { ...(hasIdempotencyKey ? {} : { 'valvelatch-repeatable': 'true' }), ...headers },
      body,
    },
  );
  return {
    status: response.statusCode,
    text: await response.body.text(),
    verdict: String(response.headers['valvelatch-verdict'] ?? ''),
    reason: String(response.headers['valvelatch-reason'] ?? ''),
    headers: response.headers,
  };
};

/**
 * Counts how often requests with an idempotency key were executed in all data centres.
 *
 * @param deployment - The deployment.
 * @param key - The idempotency key.
 * @returns The count.
 */
export const countExecutions = ({ workers }: Deployment, key: string): number =>
  Array.from(workers.values()).reduce(
    (sum, standIn) => sum + (standIn.report().executions[key] ?? 0),
    0,
  );
