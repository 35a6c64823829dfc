/** Entries and stand-ins as separate processes, for tests that kill or suspend them. */
import { startProcess, type RunningProcess } from '@valvelatch/stand-ins';

/** A running deployment of one data centre. */
export type ProcessDeployment = {
  readonly platform: RunningProcess;
  readonly workers: RunningProcess;
  readonly entries: RunningProcess[];
  readonly addEntry: (entryId: string) => Promise<RunningProcess>;
  /** Kills all processes and waits until they have ended. */
  readonly close: () => Promise<void>;
};

const HOST_IDS = ['east-r1-1', 'east-r1-2', 'east-r1-3', 'east-r1-4'];

/**
 * Starts a stand-in platform, the stand-in workers of one data centre and entries, each in its own process.
 *
 * @param entryIds - The entries to start.
 * @returns The running processes.
 */
export const startProcessDeployment = async (
  entryIds: readonly string[],
): Promise<ProcessDeployment> => {
  const platform = await startProcess('standIn', ['platform']);
  const platformUrl = platform.fields.url as string;
  const workers = await startProcess('standIn', [
    'workers',
    '--data-centre=east',
    `--hosts=${HOST_IDS.join(',')}`,
    `--platform-url=${platformUrl}`,
    '--reboot-ms=200',
  ]);
  const entries: RunningProcess[] = [];
  const addEntry = async (entryId: string): Promise<RunningProcess> => {
    const entry = await startProcess('entry', [
      `--entry-id=${entryId}`,
      '--data-centre=east',
      `--platform-url=${platformUrl}`,
      `--workers-url=${workers.fields.url as string}`,
      '--operator-key=operator-key-for-tests',
      '--mesh-key=mesh-key-for-all-tests',
      '--seat-lease-ms=1200',
      '--control-lease-ms=800',
      '--control-turn-ms=50',
      `--seeds=${entries.map(({ fields }) => fields.meshUrl as string).join(',')}`,
    ]);
    entries.push(entry);
    return entry;
  };
  for (let index = 0; index < entryIds.length; index += 1) {
    await addEntry(entryIds[index] as string);
  }
  const close = async (): Promise<void> => {
    // Resumes entries that a test has suspended with SIGSTOP before they are killed.
    entries.forEach(({ child }) => child.kill('SIGCONT'));
    [...entries, workers, platform].forEach(({ child }) => child.kill('SIGKILL'));
    await Promise.all([...entries, workers, platform].map(({ exited }) => exited));
  };
  return { platform, workers, entries, addEntry, close };
};
