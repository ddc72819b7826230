import t from 'tap';

import { ConfigurationHolder } from '../../src/configuration/configuration-holder.js';

t.test('a configuration is never replaced by an older one', t => {
  const holder = new ConfigurationHolder();
  const receivedVersions: number[] = [];
  holder.onChange(({ version }) => receivedVersions.push(version));
  const offers = [3, 2, 3, 5, 4];
  const accepted = offers.map(version =>
    holder.offer({ version, largestBodyBytes: 1, queues: [] }),
  );
  t.same(accepted, [true, false, false, true, false]);
  t.same(receivedVersions, [3, 5]);
  t.equal(holder.current?.version, 5);
  t.end();
});
