/**
 * Airbnb's rules for TypeScript. Prettier, configured for Airbnb's style, handles the formatting.
 */
import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';

const nodeGlobals = Object.fromEntries(
  ['process', 'performance', 'setTimeout', 'clearTimeout', 'URL'].map((name) => [name, 'readonly']),
);
const TESTS = ['**/*.test.ts', '**/*.fixtures.ts', 'vitest.*.ts', 'eslint.config.js'];

export default [
  { ignores: ['**/dist/**', '**/node_modules/**', 'coverage/**', 'target/**'] },
  plugins.stylistic,
  plugins.importX,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.base.typescript,
  prettier,
  {
    files: ['**/*.ts'],
    languageOptions: {
      parserOptions: {
        projectService: false,
        project: ['packages/*/tsconfig.json', 'platform/tsconfig.json', 'tsconfig.test.json'],
        tsconfigRootDir: import.meta.dirname,
      },
    },
    rules: {
      // The house style prefers type over interface.
      '@typescript-eslint/consistent-type-definitions': ['error', 'type'],
    },
  },
  {
    rules: {
      // The steps of a control turn, of settling a claim and of a set-up depend on each other.
      'no-await-in-loop': 'off',
      // `void` marks a promise that is deliberately not awaited.
      'no-void': ['error', { allowAsStatement: true }],
      'no-continue': 'off',
      // The parts of an entry refer to each other in functions that are called only later.
      'no-use-before-define': 'off',
      '@typescript-eslint/no-use-before-define': 'off',
      'import-x/prefer-default-export': 'off',
      'import-x/extensions': 'off',
    },
  },
  {
    files: ['bin/**/*.js', 'packages/*/bin/*.js'],
    languageOptions: { globals: nodeGlobals },
  },
  {
    // A build tool that is not part of the shipped packages.
    files: ['bin/bundle.js'],
    rules: { 'import-x/no-extraneous-dependencies': 'off' },
  },
  {
    files: TESTS,
    rules: { 'import-x/no-extraneous-dependencies': 'off' },
  },
];
