/** Periodic work of an entry and its intervals. */
import type { ConfigSync } from '../config-sync/config-sync.js';
import type { MeshLink } from '../mesh-link/mesh-link.js';
import type { Settings } from '../settings/settings.js';
import type { Loop } from '../shared/loops.js';
import type { ControlPlane } from './control-plane.js';
import type { RequestPlane } from './request-plane.js';
import type { SeatServices } from './seat-services.js';

/** Parts of an entry that have periodic work. */
export type EntryParts = {
  readonly settings: Settings;
  readonly configSync: ConfigSync;
  readonly meshLink: MeshLink;
  readonly seatPlane: SeatServices;
  readonly requestPlane: RequestPlane;
  readonly controlPlane: ControlPlane;
};

const TASK_POLL_INTERVAL_MS = 400;
/**
 * Intervals at which the service admissions assign free slots and refuse requests that waited too long: while requests
 * are in flight, and otherwise.
 */
const BUSY_PUMP_INTERVAL_MS = 20;
const IDLE_PUMP_INTERVAL_MS = 200;
const MESH_INTERVAL_MS = 1000;
const CONFIG_POLL_INTERVAL_MS = 1000;
/** Interval at which claims in memory are written to the table and stray claims are released. */
const CLAIMS_INTERVAL_MS = 1000;
const AGENT_INTERVAL_MS = 400;
/** How often in the duration of a seat lease this entry checks the seat leases of its data centre. */
const SEAT_CHECKS_PER_LEASE = 8;
/**
 * How often in the duration of a seat lease this entry reads the seats of all data centres, to find those that
 * may hold claims which the table lacks.
 */
const SEAT_SCANS_PER_LEASE = 6;
/** Entries of a data centre that poll the table for new revisions of the configuration. */
const CONFIG_POLLERS_PER_DATA_CENTRE = 2;

/**
 * Lists the loops of an entry.
 *
 * @param parts - The parts of the entry.
 * @returns The loops. None has been started.
 */
export const createEntryLoops = ({
  settings,
  configSync,
  meshLink,
  seatPlane: { seatKeeper, outageClaims, doubtWatch },
  requestPlane,
  controlPlane,
}: EntryParts): readonly Loop[] => {
  const leaseMs = settings['seat-lease-ms'];

  const pollConfiguration = async (): Promise<void> => {
    const isPoller = meshLink.hasDuty('configuration', CONFIG_POLLERS_PER_DATA_CENTRE);
    if (isPoller || !configSync.isKnown()) await configSync.poll();
  };

  const flushClaims = async (): Promise<void> => {
    await outageClaims.flush();
    await requestPlane.claims.releaseUncertainClaims();
  };

  const runAgent = async (): Promise<void> => {
    if (meshLink.hasDuty('agent', 1)) await controlPlane.agent.tick();
  };

  const otherAddresses = () => meshLink.members().map(({ callersUrl }) => callersUrl);

  return [
    {
      name: 'tasks',
      pauseMs: TASK_POLL_INTERVAL_MS,
      run: () => requestPlane.pollTasks(otherAddresses()),
    },
    {
      name: 'pump',
      pauseMs: () =>
        requestPlane.inFlightCount() > 0 ? BUSY_PUMP_INTERVAL_MS : IDLE_PUMP_INTERVAL_MS,
      run: async () => requestPlane.gates().forEach((gate) => gate.processQueue()),
    },
    { name: 'mesh', pauseMs: MESH_INTERVAL_MS, run: async () => meshLink.tick() },
    { name: 'configuration', pauseMs: CONFIG_POLL_INTERVAL_MS, run: pollConfiguration },
    { name: 'seat', pauseMs: leaseMs / SEAT_CHECKS_PER_LEASE, run: seatKeeper.tick },
    { name: 'doubt', pauseMs: leaseMs / SEAT_SCANS_PER_LEASE, run: doubtWatch.readSeats },
    { name: 'claims', pauseMs: CLAIMS_INTERVAL_MS, run: flushClaims },
    { name: 'agent', pauseMs: AGENT_INTERVAL_MS, run: runAgent },
    { name: 'control', pauseMs: settings['control-turn-ms'], run: controlPlane.tick },
  ];
};
