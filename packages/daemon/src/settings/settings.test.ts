import { describe, expect, it } from 'vitest';

import { validateSettings, environmentName, readSettings, settingsTable } from './settings.js';

const validSettings = {
  'entry-id': 'one',
  'data-centre': 'east',
  'platform-url': 'http://127.0.0.1:1',
  'workers-url': 'http://127.0.0.1:2',
  'operator-key': 'an-operator-key-00',
  'mesh-key': 'a-mesh-key-0000000',
};

describe('settings', () => {
  it('apply the defaults', () => {
    const settings = validateSettings(validSettings).unwrap();
    expect(settings['callers-port']).toBe(0);
    expect(settings['trace-exporter']).toBe('none');
    expect(settings.seeds).toEqual([]);
  });

  it.each([
    ['callers-port', '70000'],
    ['callers-port', 'eighty'],
    ['entry-id', 'Not A Name'],
    ['platform-url', 'ftp://somewhere'],
    ['seeds', 'http://not-a-socket'],
    ['operator-key', 'short'],
    ['log-level', 'loud'],
    ['listen-host', 'example'],
  ] as const)('report flag, value and accepted values for the invalid --%s %s', (flag, value) => {
    const fault = validateSettings({ ...validSettings, [flag]: value }).unwrapErr();
    expect(fault).toBe(
      `--${flag} (${environmentName(flag)}): got '${value}', expected ${settingsTable[flag].accepts}`,
    );
  });

  it('prefer flags to environment variables and ignore other variables', async () => {
    const argv = ['node', 'valvelatchd', '--callers-port=7001', '--log-level=warn'];
    const environment = {
      ...Object.fromEntries(
        Object.entries(validSettings).map(([flag, value]) => [environmentName(flag), value]),
      ),
      VALVELATCH_LOG_LEVEL: 'debug',
      VALVELATCH_URL: 'http://127.0.0.1:7002',
    };
    const settings = (await readSettings(argv, environment)).unwrap();
    expect(settings).toMatchObject({
      'callers-port': 7001,
      'log-level': 'warn',
      'entry-id': 'one',
    });
  });

  it('report a missing setting that has no default', () => {
    expect(validateSettings({ ...validSettings, 'mesh-key': undefined }).unwrapErr()).toContain(
      '--mesh-key (VALVELATCH_MESH_KEY): got nothing',
    );
  });
});
