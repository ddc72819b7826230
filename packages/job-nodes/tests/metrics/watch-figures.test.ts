import { readFileSync } from 'node:fs';

import t from 'tap';

import { ProcessMetrics } from '../../src/metrics/process-metrics.js';
import { watchFigures } from '../../src/metrics/watch-figures.js';

const FIGURES = {
  leads: true,
  configurationVersion: 7,
  agents: 3,
  jobs: 20,
  waitingJobs: 4,
  pendingAppendMilliseconds: 250,
};

t.test('figures are shown, and each metric is in the manual', async t => {
  const metrics = new ProcessMetrics();
  watchFigures(metrics, () => FIGURES);
  const text = await metrics.text();
  const figures = text
    .split('\n')
    .filter(line => /^basilcourse_.* /.test(line));
  t.same(figures, [
    'basilcourse_leads 1',
    'basilcourse_configuration_version 7',
    'basilcourse_agents_connected 3',
    'basilcourse_jobs_known 20',
    'basilcourse_jobs_waiting 4',
    'basilcourse_store_answer_owed_seconds 0.25',
  ]);
  const manual = readFileSync('docs/OPERATIONS.md', 'utf8');
  for (const [, name] of text.matchAll(/^# TYPE (\S+)/gm)) {
    t.ok(manual.includes(`\`${name ?? ''}`), name ?? '');
  }
});
