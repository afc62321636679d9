import neostandard from 'neostandard'

export default [
  ...neostandard({ ts: true, ignores: ['**/dist/**', 'node_modules/**', 'target/**'] }),
  {
    files: ['**/*.ts'],
    rules: {
      // As in ts-standard: a schema and the type derived from it share a name, and the compiler checks redeclaration.
      '@typescript-eslint/no-redeclare': 'off',
      // As in ts-standard: `void` marks a promise that nobody waits for.
      'no-void': ['error', { allowAsStatement: true }]
    }
  },
  {
    files: ['**/*.test.ts'],
    languageOptions: { globals: { describe: 'readonly', it: 'readonly', before: 'readonly', after: 'readonly', beforeEach: 'readonly', afterEach: 'readonly' } },
    rules: { 'no-unused-expressions': 'off', '@typescript-eslint/no-unused-expressions': 'off' }
  }
]
