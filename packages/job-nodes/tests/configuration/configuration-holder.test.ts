import t from 'tap';

import { ConfigurationHolder } from '../../src/configuration/configuration-holder.js';

t.test('a configuration never gives way to an older one', t => {
  const holder = new ConfigurationHolder();
  const heard: number[] = [];
  holder.onChange(({ version }) => heard.push(version));
  const offers = [3, 2, 3, 5, 4];
  const taken = offers.map(version =>
    holder.offer({ version, largestBodyBytes: 1, queues: [] }),
  );
  t.same(taken, [true, false, false, true, false]);
  t.same(heard, [3, 5]);
  t.equal(holder.current?.version, 5);
  t.end();
});
