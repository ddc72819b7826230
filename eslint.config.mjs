import simpleImportSort from 'eslint-plugin-simple-import-sort';
import tseslint from 'typescript-eslint';

import { houseRules } from './scripts/eslint-house-rules.mjs';

export default tseslint.config(
  {
    ignores: [
      '**/dist/**',
      'target/**',
      'packages/wire/src/**',
      '**/tap-snapshots/**',
    ],
  },
  {
    files: ['packages/**/*.ts', 'platform/**/*.ts'],
    extends: [
      tseslint.configs.strictTypeChecked,
      tseslint.configs.stylisticTypeChecked,
    ],
    languageOptions: {
      parserOptions: {
        projectService: true,
        tsconfigRootDir: import.meta.dirname,
      },
    },
    plugins: { house: houseRules, 'simple-import-sort': simpleImportSort },
    rules: {
      'house/no-index-file': 'error',
      'house/one-exported-type': 'error',
      'house/readonly-properties': 'error',
      'simple-import-sort/imports': 'error',
      'simple-import-sort/exports': 'error',
      'max-classes-per-file': ['error', 1],
      '@typescript-eslint/consistent-type-imports': [
        'error',
        { fixStyle: 'separate-type-imports' },
      ],
      '@typescript-eslint/explicit-function-return-type': [
        'error',
        { allowExpressions: true },
      ],
      '@typescript-eslint/explicit-module-boundary-types': 'error',
      '@typescript-eslint/prefer-readonly': 'error',
      '@typescript-eslint/switch-exhaustiveness-check': 'error',
      '@typescript-eslint/restrict-template-expressions': [
        'error',
        { allowNumber: true, allowBoolean: true },
      ],
      'max-lines': ['error', { max: 250 }],
      eqeqeq: 'error',
    },
  },
  {
    files: ['packages/**/*.ts'],
    rules: {
      'no-restricted-imports': [
        'error',
        { patterns: ['@basilcourse/platform', '@basilcourse/platform/*'] },
      ],
    },
  },
  {
    files: ['packages/jobs/**/*.ts'],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          patterns: [
            '@basilcourse/platform',
            '@basilcourse/platform/*',
            '@basilcourse/job-nodes/*',
            'node:*',
          ],
        },
      ],
    },
  },
  {
    files: ['packages/**/tests/**/*.ts', 'platform/tests/**/*.ts'],
    rules: { '@typescript-eslint/no-floating-promises': 'off' },
  },
);
