import neostandard, { resolveIgnoresFromGitignore } from 'neostandard'

const httpClientMessage = 'Use src/adapters/httpClient: a paused response whose connection ends would end the process.'

export default [
  ...neostandard({ ts: true, ignores: resolveIgnoresFromGitignore() }),
  {
    files: ['**/*.ts'],
    rules: {
      '@typescript-eslint/consistent-type-imports': ['error', { fixStyle: 'separate-type-imports' }],
      'max-lines': ['error', { max: 450 }],
      'max-lines-per-function': ['error', { max: 80, skipBlankLines: true, skipComments: true }]
    }
  },
  {
    files: ['src/**/*.ts'],
    ignores: ['src/standin/**', 'src/adapters/httpClient/**'],
    rules: {
      '@typescript-eslint/no-restricted-imports': ['error', { paths: [{ name: 'undici', allowTypeImports: true, message: httpClientMessage }] }],
      'no-restricted-globals': ['error', { name: 'fetch', message: httpClientMessage }]
    }
  },
  {
    // Makes its own client with `createConnector`, as it also watches how each connection ends.
    files: ['src/adapters/endpointHttp/httpEndpointLink.ts'],
    rules: {
      '@typescript-eslint/no-restricted-imports': ['error', { paths: [{ name: 'undici', allowImportNames: ['Client'], allowTypeImports: true, message: httpClientMessage }] }],
      'no-restricted-syntax': ['error', { selector: 'NewExpression[callee.name="Client"]:not(:has(Property[key.name="connect"]))', message: httpClientMessage }]
    }
  }
]
