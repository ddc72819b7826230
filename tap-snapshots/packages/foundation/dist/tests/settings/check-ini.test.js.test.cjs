/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/foundation/dist/tests/settings/check-ini.test.js > TAP > invalid texts are reported with line, key, found and allowed > must match snapshot 1`] = `
file.ini:0 [server] : found no such section; allowed: The server.
file.ini:1 [server] address: found nothing; allowed: Where it listens.
file.ini:2 [server] address: found localhost:80; allowed: an IP number and port, as 127.0.0.1:7000
file.ini:2 [server] address: found 127.0.0.1:99999; allowed: an IP number and port, as 127.0.0.1:7000
file.ini:3 [server] slots: found 0; allowed: a whole number from 1 to 64
file.ini:3 [server] slots: found 1e9; allowed: a whole number from 1 to 64
file.ini:3 [server] slot: found an unknown key; allowed: address, slots, mode (nearest: slots)
file.ini:3 [server] mode: found quick; allowed: fast, safe
file.ini:1 [serve] : found an unknown section; allowed: server, team (nearest: server)
file.ini:0 [server] : found no such section; allowed: The server.
file.ini:3 [team Salt] : found Salt; allowed: lower-case letters, digits and hyphens, at most 63
file.ini:3 [team a.b] : found a.b; allowed: lower-case letters, digits and hyphens, at most 63
file.ini:4 [server] slots: found a repetition; allowed: each section and key once
file.ini:1 [] stray: found a key before the first section; allowed: keys within a section
file.ini:1 [__proto__] : found an unknown section; allowed: server, team
`

exports[`packages/foundation/dist/tests/settings/check-ini.test.js > TAP > the reference page is generated from the section definitions > must match snapshot 1`] = `
# Server

## \`[server]\`

The server.

| key | allowed | default | meaning |
| --- | --- | --- | --- |
| \`address\` | address | required | Where it listens. |
| \`slots\` | whole-number 1 to 64 | 8 | Slots. |
| \`mode\` | fast, safe | safe | Mode. |

## \`[team NAME]\`

A team.

| key | allowed | default | meaning |
| --- | --- | --- | --- |
| \`weight\` | number | 1 | Weight. |

`
