import { defineConfig } from 'vitest/config';

export default defineConfig({
  test: {
    include: ['packages/*/src/**/*.test.ts', 'platform/src/**/*.test.ts'],
    globalSetup: ['./vitest.bundle.ts'],
    setupFiles: ['./vitest.known-red.ts'],
    testTimeout: 60_000,
    hookTimeout: 60_000,
    retry: 0,
    // Tests that start processes need spare CPU cores: with one test file per core, a set-up exceeded
    // its timeout of 1 s while other work was running.
    maxWorkers: 4,
  },
});
