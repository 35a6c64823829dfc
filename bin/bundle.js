/**
 * Bundles the program for the users' platform into one file, because loading many modules delays
 * its start.
 */
import { existsSync } from 'node:fs';
import path from 'node:path';

import { build } from 'esbuild';

const ROOT = path.resolve(import.meta.dirname, '..');

/**
 * Resolves the packages of this workspace to their sources, so that the bundle needs no prior
 * build.
 */
const fromSources = {
  name: 'from-sources',
  setup: (builder) => {
    builder.onResolve({ filter: /^@valvelatch\// }, ({ path: name }) => {
      const [, folder, ...rest] = name.split('/');
      const base = path.join(ROOT, 'packages', folder, 'src', ...rest);
      const file = [`${base}.ts`, path.join(base, 'index.ts')].find(existsSync);
      return { path: file, sideEffects: false };
    });
  },
};

await build({
  entryPoints: [path.join(ROOT, 'platform/src/main.ts')],
  outfile: path.join(ROOT, 'target/valvelatch.cjs'),
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minify: process.argv.includes('--minify'),
  treeShaking: true,
  external: ['bufferutil', 'utf-8-validate', 'msgpackr-extract'],
  plugins: [fromSources],
  logLevel: 'info',
});
