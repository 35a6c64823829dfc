import { defineConfig } from 'vitest/config';

export default defineConfig({
  test: {
    include: ['packages/*/src/**/*.test.ts', 'platform/src/**/*.test.ts'],
    testTimeout: 60_000,
    hookTimeout: 60_000,
    retry: 0,
  },
});
