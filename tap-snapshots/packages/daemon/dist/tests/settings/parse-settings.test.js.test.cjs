/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/daemon/dist/tests/settings/parse-settings.test.js > TAP > a problem names file, section, key, found and allowed > must match snapshot 1`] = `
entry.ini:0 [worker] name: found no such section; allowed: a worker section, as the role is agent
entry.ini:4 [process] role: found entrance; allowed: entry, agent
entry.ini:8 [addresses] control: found here:7000; allowed: an IP number and port, as 127.0.0.1:7000
entry.ini:0 [addresses] entries: found nowhere; allowed: IP numbers and ports, separated by commas
entry.ini:13 [security] key: found nothing; allowed: Key that is sent and accepted.
entry.ini:14 [security] kee: found an unknown key; allowed: key, other-key (nearest: key)
entry.ini:3 [process] name: found Entry One; allowed: lower-case letters, digits and hyphens, at most 63
entry.ini:0 [security] : found no such section; allowed: Keys between basilcourse processes.
`
