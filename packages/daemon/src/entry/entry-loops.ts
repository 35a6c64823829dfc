/** What an entry does again and again, and how often. */
import type { ConfigSync } from '../config-sync/config-sync.js';
import type { MeshLink } from '../mesh-link/mesh-link.js';
import type { Settings } from '../settings/settings.js';
import type { Loop } from '../shared/loops.js';
import type { ControlPlane } from './control-plane.js';
import type { RequestPlane } from './request-plane.js';
import type { SeatPlane } from './seat-plane.js';

/** The parts of an entry that have something to repeat. */
export type EntryParts = {
  readonly settings: Settings;
  readonly configSync: ConfigSync;
  readonly meshLink: MeshLink;
  readonly seatPlane: SeatPlane;
  readonly requestPlane: RequestPlane;
  readonly controlPlane: ControlPlane;
};

const TASK_POLL_MS = 400;
const BUSY_PUMP_MS = 20;
const IDLE_PUMP_MS = 200;
const MESH_TICK_MS = 1000;
const CONFIG_POLL_MS = 1000;
const CLAIMS_TICK_MS = 1000;
const AGENT_TICK_MS = 400;
/** Each lease on a seat is looked at so often, and the seats of others so often. */
const SEAT_TICKS_PER_LEASE = 8;
const DOUBT_TICKS_PER_LEASE = 6;
const POLLERS_PER_DATA_CENTRE = 2;

/**
 * Lists the loops of an entry.
 *
 * @param parts - The parts of the entry.
 * @returns The loops, none started.
 */
export const entryLoops = ({
  settings,
  configSync,
  meshLink,
  seatPlane: { seatKeeper, outage, doubtWatch },
  requestPlane,
  controlPlane,
}: EntryParts): readonly Loop[] => {
  const leaseMs = settings['seat-lease-ms'];

  const pollConfiguration = async (): Promise<void> => {
    const isPoller = meshLink.hasDuty('configuration', POLLERS_PER_DATA_CENTRE);
    if (isPoller || !configSync.isKnown()) await configSync.poll();
  };

  const settleClaims = async (): Promise<void> => {
    await outage.flush();
    await requestPlane.claims.releaseStrays();
  };

  const runAgent = async (): Promise<void> => {
    if (meshLink.hasDuty('agent', 1)) await controlPlane.agent.tick();
  };

  const otherAddresses = () => meshLink.members().map(({ callersUrl }) => callersUrl);

  return [
    {
      name: 'tasks',
      everyMs: TASK_POLL_MS,
      run: () => requestPlane.pollTasks(otherAddresses()),
    },
    {
      name: 'pump',
      everyMs: () => (requestPlane.inFlight() > 0 ? BUSY_PUMP_MS : IDLE_PUMP_MS),
      run: async () => requestPlane.gates().forEach((gate) => gate.pump()),
    },
    { name: 'mesh', everyMs: MESH_TICK_MS, run: async () => meshLink.tick() },
    { name: 'configuration', everyMs: CONFIG_POLL_MS, run: pollConfiguration },
    { name: 'seat', everyMs: leaseMs / SEAT_TICKS_PER_LEASE, run: seatKeeper.tick },
    { name: 'doubt', everyMs: leaseMs / DOUBT_TICKS_PER_LEASE, run: doubtWatch.tick },
    { name: 'claims', everyMs: CLAIMS_TICK_MS, run: settleClaims },
    { name: 'agent', everyMs: AGENT_TICK_MS, run: runAgent },
    { name: 'control', everyMs: settings['control-turn-ms'], run: controlPlane.tick },
  ];
};
