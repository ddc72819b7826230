import { readFileSync } from 'node:fs';

import t from 'tap';

import { ProcessMetrics } from '../../src/metrics/process-metrics.js';
import { registerEntryGauges } from '../../src/metrics/register-entry-gauges.js';

const STATISTICS = {
  leads: true,
  configurationVersion: 7,
  agents: 3,
  jobs: 20,
  waitingJobs: 4,
  longestWaitMilliseconds: 5000,
  pendingAppendMilliseconds: 250,
};

t.test('gauges are served, and each metric is documented', async t => {
  const metrics = new ProcessMetrics();
  registerEntryGauges(metrics, () => STATISTICS);
  const text = await metrics.text();
  const samples = text
    .split('\n')
    .filter(line => /^basilcourse_.* /.test(line));
  t.same(samples, [
    'basilcourse_leads 1',
    'basilcourse_configuration_version 7',
    'basilcourse_agents_connected 3',
    'basilcourse_jobs_known 20',
    'basilcourse_jobs_waiting 4',
    'basilcourse_longest_wait_seconds 5',
    'basilcourse_store_answer_owed_seconds 0.25',
  ]);
  const manual = readFileSync('docs/OPERATIONS.md', 'utf8');
  for (const [, name] of text.matchAll(/^# TYPE (\S+)/gm)) {
    t.ok(manual.includes(`\`${name ?? ''}`), name ?? '');
  }
});
