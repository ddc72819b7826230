import fc from 'fast-check';
import t from 'tap';

import { readRequestHead } from '../../src/entry/read-caller-request.js';
import { labelsService } from '../support/labels-service.js';

const services = new Map([['labels', labelsService]]);

function read(
  url: string,
  rawHeaders: readonly string[] = [],
): ReturnType<typeof readRequestHead> {
  return readRequestHead({
    requestId: 'request-1',
    method: 'POST',
    url,
    rawHeaders,
    services,
    arrivedAt: 1000,
  });
}

const valid = [
  { url: '/labels', headers: [], path: '/', deadline: 1750 },
  { url: '/labels/a/b?c=d', headers: [], path: '/a/b?c=d', deadline: 1750 },
  { url: '/labels?c=d', headers: [], path: '/?c=d', deadline: 1750 },
  {
    url: '/labels/x',
    headers: ['Basilcourse-Timeout-Milliseconds', '20'],
    path: '/x',
    deadline: 1020,
  },
  {
    url: '/labels/x',
    headers: ['Content-Length', '5'],
    path: '/x',
    deadline: 1750,
  },
  {
    url: '/labels/x',
    headers: ['Transfer-Encoding', 'chunked'],
    path: '/x',
    deadline: 1750,
  },
];

for (const { url, headers, path, deadline } of valid) {
  t.test(`valid: ${url} ${headers.join(': ')}`, t => {
    const result = read(url, headers);
    t.equal(result.kind, 'head');
    if (result.kind === 'head') {
      t.equal(result.request.path, path);
      t.equal(result.request.deadline, deadline);
    }
    t.end();
  });
}

const invalid = [
  { url: '/', headers: [], status: 404 },
  { url: '/unknown/x', headers: [], status: 404 },
  { url: 'http://elsewhere/labels', headers: [], status: 404 },
  {
    url: '/labels/x',
    headers: ['Basilcourse-Timeout-Milliseconds', '0'],
    status: 400,
  },
  {
    url: '/labels/x',
    headers: ['Basilcourse-Timeout-Milliseconds', '-5'],
    status: 400,
  },
  {
    url: '/labels/x',
    headers: ['Basilcourse-Timeout-Milliseconds', '1e3'],
    status: 400,
  },
  {
    url: '/labels/x',
    headers: ['Basilcourse-Timeout-Milliseconds', '9999999'],
    status: 400,
  },
  {
    url: '/labels/x',
    headers: [
      'Basilcourse-Timeout-Milliseconds',
      '5',
      'basilcourse-timeout-milliseconds',
      '6',
    ],
    status: 400,
  },
  {
    url: '/labels/x',
    headers: ['Basilcourse-Unrepeatable', 'yes'],
    status: 400,
  },
  { url: '/labels/x', headers: ['Idempotency-Key', ''], status: 400 },
  {
    url: '/labels/x',
    headers: ['Idempotency-Key', 'x'.repeat(201)],
    status: 400,
  },
  { url: '/labels/x', headers: ['Basilcourse-Team', 'No Team'], status: 400 },
  {
    url: '/labels/x',
    headers: ['Content-Length', '5', 'Transfer-Encoding', 'chunked'],
    status: 400,
  },
  {
    url: '/labels/x',
    headers: ['Content-Length', '5', 'Content-Length', '6'],
    status: 400,
  },
  {
    url: '/labels/x',
    headers: ['Transfer-Encoding', 'gzip, chunked'],
    status: 400,
  },
  { url: '/labels/x', headers: ['Content-Length', '99999999'], status: 413 },
];

for (const { url, headers, status } of invalid) {
  t.test(`invalid: ${url} ${headers.join(': ').slice(0, 60)}`, t => {
    const result = read(url, headers);
    t.equal(result.kind, 'bad');
    if (result.kind === 'bad') {
      t.equal(result.bad.status, status);
      t.not(result.bad.reason, '');
    }
    t.end();
  });
}

t.test('connection fields are not forwarded', t => {
  const result = read('/labels/x', [
    'Connection',
    'keep-alive, X-Secret',
    'X-Secret',
    '1',
    'Keep-Alive',
    '5',
    'Host',
    'elsewhere',
    'Accept',
    'text/plain',
  ]);
  t.ok(result.kind === 'head');
  if (result.kind === 'head') {
    t.same(result.request.headers, [{ name: 'accept', value: 'text/plain' }]);
  }
  t.end();
});

t.test('no request head causes an exception', t => {
  const property = fc.property(
    fc.string(),
    fc.array(fc.string(), { maxLength: 12 }),
    (url, headers) => ['head', 'bad'].includes(read(url, headers).kind),
  );
  fc.assert(property, { seed: 3, numRuns: 2000 });
  t.pass('held in 2000 runs');
  t.end();
});
