import { StepError } from '@basilcourse/foundation/errors/step-error';
import { JsonServer } from '@basilcourse/foundation/http/json-server';
import fc from 'fast-check';
import t from 'tap';

import { HttpPlatformLog } from '../../src/log/http-platform-log.js';

const RUNS = 200;

const record = fc.record(
  { offset: fc.oneof(fc.nat(9), fc.string()), envelope: fc.jsonValue() },
  { requiredKeys: [] },
);

const answers = fc.oneof(
  fc.jsonValue(),
  fc.record(
    {
      records: fc.oneof(fc.array(record, { maxLength: 2 }), fc.jsonValue()),
      firstKept: fc.oneof(fc.nat(9), fc.jsonValue()),
      next: fc.oneof(fc.nat(9), fc.jsonValue()),
      end: fc.oneof(fc.nat(9), fc.jsonValue()),
      offset: fc.oneof(fc.nat(9), fc.jsonValue()),
    },
    { requiredKeys: [] },
  ),
);

t.test(
  'any answer of the store gives a valid result or a StepError',
  async t => {
    let answer: unknown = {};
    let typed = 0;
    let failed = 0;
    const server = new JsonServer({
      'GET /records': () => ({ status: 200, body: answer }),
      'POST /records': () => ({ status: 200, body: answer }),
    });
    const log = new HttpPlatformLog(await server.listen('127.0.0.1:0'));
    const envelope = {
      id: 'a',
      kind: 'b',
      version: 1,
      writer: 'c',
      writtenAt: 1,
      body: {},
    };
    await fc.assert(
      fc.asyncProperty(answers, async given => {
        answer = given;
        const page = await log.read(0, 1).catch((error: unknown) => error);
        const offset = await log
          .append(envelope)
          .catch((error: unknown) => error);
        const isPage =
          page instanceof StepError ||
          Array.isArray((page as { readonly records: unknown }).records);
        const isOffset =
          offset instanceof StepError || Number.isInteger(offset);
        typed += Number.isInteger(offset) ? 1 : 0;
        failed += page instanceof StepError ? 1 : 0;
        return isPage && isOffset;
      }),
      { seed: 3, numRuns: RUNS },
    );
    t.ok(typed > 0, `${typed} appends returned an offset`);
    t.ok(failed > 0, `${failed} reads failed with a StepError`);
    await server.close();
  },
);
