import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';

export default [
  { ignores: ['dist/**', 'target/**', 'node_modules/**', 'src/gen/**', 'reports/**'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.base.typescript,
  ...configs.node.recommended,
  prettier,
  {
    rules: {
      // Node resolves ECMAScript modules by full file name, so `module: nodenext` needs the extension.
      'import-x/extensions': 'off',
      // Named exports keep one name for a thing in every file that imports it.
      'import-x/prefer-default-export': 'off',
      // Services poll, retry and drain queues one step after another.
      'no-await-in-loop': 'off',
      // `for…of` over collections and streams reads better than callbacks in asynchronous code.
      'no-restricted-syntax': ['error', 'ForInStatement', 'LabeledStatement', 'WithStatement'],
      'no-continue': 'off',
      // Abstract classes supply defaults that do not touch `this`.
      'class-methods-use-this': 'off',
      // Declarations are hoisted; a file reads from its public function down to its helpers.
      '@typescript-eslint/no-use-before-define': ['error', { functions: false, classes: true }],
      'no-void': ['error', { allowAsStatement: true }],
    },
  },
  {
    files: ['src/**', 'platform/**', 'harness/**', 'stand-ins/**', 'bench/**'],
    rules: {
      'no-restricted-properties': [
        'error',
        { object: 'AbortSignal', property: 'timeout', message: 'Use kernel/deadline.' },
      ],
    },
  },
  {
    files: ['demo/**', 'bench/**', 'src/cli/**', 'src/ctl.ts', 'src/daemon.ts', 'platform/main.ts'],
    rules: { 'no-console': 'off', 'n/no-process-exit': 'off', 'n/hashbang': 'off' },
  },
  {
    files: ['.ci/*.js', 'eslint.config.js'],
    rules: { 'n/no-sync': 'off', 'no-console': 'off' },
  },
  {
    files: [
      'features/**',
      'harness/**',
      'demo/**',
      'bench/**',
      'stand-ins/**',
      '.ci/*.js',
      'eslint.config.js',
    ],
    rules: { 'import-x/no-extraneous-dependencies': 'off' },
  },
];
