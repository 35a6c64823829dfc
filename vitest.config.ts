import { defineConfig } from 'vitest/config';

export default defineConfig({
  test: {
    include: ['packages/*/src/**/*.test.ts', 'platform/src/**/*.test.ts'],
    globalSetup: ['./vitest.bundle.ts'],
    setupFiles: ['./vitest.known-red.ts'],
    testTimeout: 60_000,
    hookTimeout: 60_000,
    retry: 0,
    // Tests with real processes need processors of their own: with one file a core, a set-up missed
    // its time-out of 1 s beside other work.
    maxWorkers: 4,
  },
});
