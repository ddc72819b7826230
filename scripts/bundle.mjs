/**
 * Bundles the platform's programs into one file, so that each process opens few
 * files and starts quickly.
 */
import { build } from 'esbuild';

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/basilcourse.cjs',
  bundle: true,
  minify: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  conditions: ['source'],
  external: ['dtrace-provider', 'mv', 'source-map-support'],
  logLevel: 'warning',
});
