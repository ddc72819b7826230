/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/shared-state/dist/tests/fold/release-notes.test.js > TAP > of five concurrent notes on one name exactly one is accepted > must match snapshot 1`] = `
first in force at 1: 
a in force at 2: 
b rejected at 2: job same was changed by note a in revision 2
c rejected at 2: job same was changed by note a in revision 2
d rejected at 2: job same was changed by note a in revision 2
e rejected at 2: job same was changed by note a in revision 2
`

exports[`packages/shared-state/dist/tests/fold/release-notes.test.js > TAP > rejected notes give reasons and change nothing > must match snapshot 1`] = `
first in force at 1: 
unknown-team rejected at 1: note:0 [job x] team: found nobody; allowed: docks
larger-than-a-worker rejected at 1: note:0 [job x] processors: found a size that fits no worker; allowed: a shape
over-quota rejected at 1: note:0 [team docks] processors: found services over the quota; allowed: services within the quota
cycle rejected at 1: note:0 [job x] after: found x > y > x; allowed: no cycle
unknown-predecessor rejected at 1: note:0 [job x] after: found nothing; allowed: a known job
unknown-withdrawal rejected at 1: note:0 [withdraw-job nothing] : found an unknown name; allowed: a known one
wrong-number rejected at 1: note:10 [job x] memory-gigabytes: found much; allowed: a number from 0 to 1000000
`
