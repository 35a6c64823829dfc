import type { StandInWorkers } from '@valvelatch/stand-ins';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import {
  pause,
  send,
  startDeployment,
  waitUntil,
  type Deployment,
  type TestEntry,
} from './testing/deployment.fixtures.js';

type Placement = { jobId: string; hostId: string; phase: string; service: string | null };

describe('hosts that leave service', () => {
  let deployment: Deployment;
  let workers: StandInWorkers;
  let isLoaded = false;
  let load: Promise<void[]>;
  const sums = { answered: 0, failed: [] as string[] };

  const placements = async (): Promise<readonly Placement[]> => {
    const [at] = deployment.entries as [TestEntry];
    return (await deployment.callOperatorApi(at, 'get', { kind: 'placements' })).value;
  };
  const runningOn = async (hostId: string): Promise<readonly Placement[]> =>
    (await placements()).filter((one) => one.hostId === hostId && one.phase === 'running');

  beforeEach(async () => {
    deployment = await startDeployment({ workMs: 20 });
    workers = deployment.workers.get('east') as StandInWorkers;
    isLoaded = true;
    sums.answered = 0;
    sums.failed = [];
    load = Promise.all(
      Array.from({ length: 6 }, async (_, index) => {
        while (isLoaded) {
          const at = deployment.entries[index % 2] as TestEntry;
          const answer = await send(at);
          if (answer.status === 200) sums.answered += 1;
          else sums.failed.push(`${answer.reason} ${answer.text}`);
        }
      }),
    );
  });
  afterEach(async () => {
    isLoaded = false;
    await load;
    await deployment.close();
  });

  it('get no new requests within seconds after the host list shows them as leaving', async () => {
    const [one] = await placements();
    const { hostId } = one as Placement;
    await workers.setHost(hostId, { leaving: true });
    await pause(3000);
    const names = (await placements()).filter((placement) => placement.hostId === hostId);
    const servedBefore = names.map(({ jobId }) => workers.servedBy(jobId));
    await pause(400);
    expect(names.map(({ jobId }) => workers.servedBy(jobId))).toEqual(servedBefore);
    expect(sums.failed).toEqual([]);
  });

  it('lose their executors without aborted requests when an operator drains them', async () => {
    const [at] = deployment.entries as [TestEntry];
    const { hostId, jobId } = (await placements())[0] as Placement;
    const drained = await deployment.callOperatorApi(at, 'host-drain', { hostId });
    expect(drained.kind).toBe('ok');
    await waitUntil('the host to be empty', async () => {
      const { value } = await deployment.callOperatorApi(at, 'get', { kind: 'hosts' });
      const hosts = value as readonly { hostId: string; phase: string }[];
      return hosts.find((host) => host.hostId === hostId)?.phase === 'empty';
    });
    expect(await runningOn(hostId)).toEqual([]);
    expect((await placements()).filter(({ phase }) => phase === 'running')).toHaveLength(2);
    const why = await deployment.callOperatorApi(at, 'explain', { kind: 'job', name: jobId });
    expect(why).toMatchObject({ kind: 'ok', value: { reason: 'its executor has stopped' } });
    expect(sums.failed).toEqual([]);
    expect(workers.report().cutRequests).toBe(0);
  });

  it('complete a maintenance wave under load without aborted requests', async () => {
    const [at] = deployment.entries as [TestEntry];
    await deployment.callOperatorApi(at, 'wave-start', {
      name: 'all',
      selector: 'data-centre=east',
    });
    await waitUntil(
      'the wave',
      async () => {
        const { value } = await deployment.callOperatorApi(at, 'get', { kind: 'waves' });
        return (value as readonly { phase: string }[])[0]?.phase === 'done';
      },
      40_000,
    );
    expect(sums.failed).toEqual([]);
    expect(sums.answered).toBeGreaterThan(50);
    expect(workers.report()).toMatchObject({ cutRequests: 0, overSlots: 0, doubleStarts: 0 });
  });

  it('move to another pool only once they are empty', async () => {
    const [at] = deployment.entries as [TestEntry];
    const { hostId } = (await placements())[0] as Placement;
    await deployment.callOperatorApi(at, 'host-move', { hostId, toPool: 'spare' });
    const poolOf = async (): Promise<string> => {
      const { value } = await deployment.callOperatorApi(at, 'get', { kind: 'hosts' });
      const hosts = value as readonly { hostId: string; pool: string }[];
      return hosts.find((host) => host.hostId === hostId)?.pool ?? '';
    };
    await waitUntil('the other pool', async () => (await poolOf()) === 'spare');
    expect((await placements()).filter((one) => one.hostId === hostId)).toEqual([]);
    expect(sums.failed).toEqual([]);
  });
});
