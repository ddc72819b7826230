/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/proving/dist/tests/invariants/golden-runs.test.js > TAP > a holder is paused past the end of its lease and resumes > must match snapshot 1`] = `
    0.25 process-1  lease-claimed      Holds the lease of region/0, epoch 1.
    0.45 process-1  worker-joined      worker-1 at worker-1 takes tasks.
    0.45 process-1  worker-joined      worker-2 at worker-2 takes tasks.
    0.45 process-1  worker-joined      worker-3 at worker-3 takes tasks.
    0.65 process-1  attempt-placed     service/labels/0#1 goes to worker-1: score 0.300, 3 of 3 workers had room.
    0.65 process-1  attempt-placed     service/labels/1#1 goes to worker-2: score 0.300, 3 of 3 workers had room.
    0.65 process-1  attempt-placed     service/labels/2#1 goes to worker-3: score -2.200, 3 of 3 workers had room.
    0.65 process-1  attempt-placed     job/job-0@1#1 goes to worker-1: score -0.757, 3 of 3 workers had room.
    0.65 process-1  attempt-placed     job/job-1@1#1 goes to worker-2: score -0.757, 3 of 3 workers had room.
    0.65 process-1  attempt-placed     job/job-2@1#1 goes to worker-3: score -0.757, 3 of 3 workers had room.
    0.65 process-1  attempt-placed     job/job-3@1#1 goes to worker-3: score -0.891, 3 of 3 workers had room.
    0.65 process-1  attempt-placed     job/job-4@1#1 goes to worker-2: score -0.910, 3 of 3 workers had room.
    0.75 process-1  attempt-started    service/labels/0#1 started on worker-1.
    0.75 process-1  attempt-started    service/labels/1#1 started on worker-2.
    0.75 process-1  attempt-started    service/labels/2#1 started on worker-3.
    0.75 process-1  attempt-started    job/job-0@1#1 started on worker-1.
    0.75 process-1  attempt-started    job/job-1@1#1 started on worker-2.
    0.75 process-1  attempt-started    job/job-2@1#1 started on worker-3.
    0.75 process-1  attempt-started    job/job-4@1#1 started on worker-2.
    0.75 process-1  attempt-started    job/job-3@1#1 started on worker-3.
    5.05 process-1  attempt-ended      job/job-0@1#1 ended: finished. 
   10.55 process-2  lease-claimed      Holds the lease of region/0, epoch 2.
   13.95 process-2  worker-unreachable worker-3 is unreachable: no answer for 3 s.
   13.95 process-2  worker-unreachable service/labels/2#1 is out of reach: worker worker-3 is silent.
   14.15 process-2  attempt-placed     service/labels/3#1 goes to worker-2: score -8.157, 2 of 2 workers had room.
   14.15 process-2  attempt-started    service/labels/3#1 started on worker-2.
   22.35 process-2  attempt-ended      job/job-1@1#1 ended: finished. 
   23.35 process-2  attempt-ended      job/job-4@1#1 ended: finished. 
   30.25 process-1  lease-lost         The lease of region/0 went to process-2.
   56.35 process-2  attempt-ended      service/labels/2#1 ended: lapsed. worker worker-3 is silent and the lease has lapsed
   56.35 process-2  attempt-ended      job/job-2@1#1 ended: lapsed. worker worker-3 is silent and the lease has lapsed
   56.35 process-2  attempt-ended      job/job-3@1#1 ended: lapsed. worker worker-3 is silent and the lease has lapsed
   56.55 process-2  attempt-placed     job/job-2@1#2 goes to worker-1: score -0.757, 2 of 2 workers had room.
   56.55 process-2  attempt-placed     job/job-3@1#2 goes to worker-1: score -0.891, 2 of 2 workers had room.
   56.55 process-2  attempt-started    job/job-2@1#2 started on worker-1.
   56.55 process-2  attempt-started    job/job-3@1#2 started on worker-1.
   62.15 process-2  worker-joined      worker-3 is ready: answers again.
   70.75 process-2  attempt-ended      job/job-2@1#2 ended: finished. 
   77.75 process-2  attempt-ended      job/job-3@1#2 ended: finished. 
`

exports[`packages/proving/dist/tests/invariants/golden-runs.test.js > TAP > a rack is lost during an outage of the log > must match snapshot 1`] = `
    0.25 process-1  lease-claimed      Holds the lease of region/0, epoch 1.
    0.45 process-1  worker-joined      worker-1 at worker-1 takes tasks.
    0.45 process-1  worker-joined      worker-2 at worker-2 takes tasks.
    0.45 process-1  worker-joined      worker-3 at worker-3 takes tasks.
    0.45 process-1  worker-joined      worker-4 at worker-4 takes tasks.
    0.65 process-1  attempt-placed     service/labels/0#1 goes to worker-1: score 0.300, 4 of 4 workers had room.
    0.65 process-1  attempt-placed     service/labels/1#1 goes to worker-2: score 0.300, 4 of 4 workers had room.
    0.65 process-1  attempt-placed     service/labels/2#1 goes to worker-3: score -2.200, 4 of 4 workers had room.
    0.65 process-1  attempt-placed     job/job-0@1#1 goes to worker-4: score -0.300, 4 of 4 workers had room.
    0.65 process-1  attempt-placed     job/job-1@1#1 goes to worker-4: score -0.472, 4 of 4 workers had room.
    0.65 process-1  attempt-placed     job/job-2@1#1 goes to worker-4: score -0.624, 4 of 4 workers had room.
    0.65 process-1  attempt-placed     job/job-3@1#1 goes to worker-1: score -0.757, 4 of 4 workers had room.
    0.65 process-1  attempt-placed     job/job-4@1#1 goes to worker-2: score -0.757, 4 of 4 workers had room.
    0.65 process-1  attempt-placed     job/job-5@1#1 goes to worker-3: score -0.757, 4 of 4 workers had room.
    0.75 process-1  attempt-started    service/labels/0#1 started on worker-1.
    0.75 process-1  attempt-started    service/labels/1#1 started on worker-2.
    0.75 process-1  attempt-started    service/labels/2#1 started on worker-3.
    0.75 process-1  attempt-started    job/job-0@1#1 started on worker-4.
    0.75 process-1  attempt-started    job/job-3@1#1 started on worker-1.
    0.75 process-1  attempt-started    job/job-4@1#1 started on worker-2.
    0.75 process-1  attempt-started    job/job-5@1#1 started on worker-3.
    0.75 process-1  attempt-started    job/job-1@1#1 started on worker-4.
    0.75 process-1  attempt-started    job/job-2@1#1 started on worker-4.
    4.95 process-2  store-unreachable  The log does not answer: log.read (peer log): log.read (peer log): status 503: outage
    5.05 process-1  attempt-ended      job/job-0@1#1 ended: finished. 
    5.45 process-1  store-unreachable  The log does not answer: log.read (peer log): log.read (peer log): status 503: outage
   20.69 process-1  store-reachable    The log answers again.
   20.89 process-1  attempt-ended      job/job-4@1#1 ended: finished. 
   20.89 process-1  attempt-ended      job/job-1@1#1 ended: finished. 
   20.89 process-1  attempt-ended      job/job-2@1#1 ended: finished. 
   20.89 process-1  worker-unreachable worker-1 is unreachable: no answer for 14 s.
   20.89 process-1  attempt-ended      service/labels/0#1 ended: lapsed. worker worker-1 is silent and the lease has lapsed
   20.89 process-1  attempt-ended      job/job-3@1#1 ended: lapsed. worker worker-1 is silent and the lease has lapsed
   20.89 process-1  worker-unreachable worker-3 is unreachable: no answer for 14 s.
   20.89 process-1  attempt-ended      service/labels/2#1 ended: lapsed. worker worker-3 is silent and the lease has lapsed
   20.89 process-1  attempt-ended      job/job-5@1#1 ended: lapsed. worker worker-3 is silent and the lease has lapsed
   21.09 process-1  attempt-placed     service/labels/0#2 goes to worker-4: score -2.200, 2 of 2 workers had room.
   21.09 process-1  attempt-placed     service/labels/2#2 goes to worker-2: score -9.543, 2 of 2 workers had room.
   21.09 process-1  attempt-placed     job/job-3@1#2 goes to worker-4: score -0.757, 2 of 2 workers had room.
   21.09 process-1  attempt-placed     job/job-5@1#2 goes to worker-4: score -0.872, 2 of 2 workers had room.
   21.09 process-1  attempt-started    service/labels/0#2 started on worker-4.
   21.09 process-1  attempt-started    service/labels/2#2 started on worker-2.
   21.09 process-1  attempt-started    job/job-3@1#2 started on worker-4.
   21.09 process-1  attempt-started    job/job-5@1#2 started on worker-4.
   21.78 process-2  store-reachable    The log answers again.
   38.29 process-1  attempt-ended      job/job-3@1#2 ended: finished. 
   45.29 process-1  attempt-ended      job/job-5@1#2 ended: finished. 
   62.89 process-1  worker-joined      worker-1 is ready: answers again.
   62.89 process-1  worker-joined      worker-3 is ready: answers again.
`

exports[`packages/proving/dist/tests/invariants/golden-runs.test.js > TAP > a worker crashes during an outage of the log > must match snapshot 1`] = `
    0.25 process-1  lease-claimed      Holds the lease of region/0, epoch 1.
    0.45 process-1  worker-joined      worker-1 at worker-1 takes tasks.
    0.45 process-1  worker-joined      worker-2 at worker-2 takes tasks.
    0.65 process-1  attempt-placed     service/labels/0#1 goes to worker-1: score 0.300, 2 of 2 workers had room.
    0.65 process-1  attempt-placed     service/labels/1#1 goes to worker-2: score 0.300, 2 of 2 workers had room.
    0.65 process-1  attempt-placed     service/labels/2#1 goes to worker-1: score -7.043, 2 of 2 workers had room.
    0.65 process-1  attempt-placed     job/job-0@1#1 goes to worker-2: score -0.757, 2 of 2 workers had room.
    0.75 process-1  attempt-started    service/labels/0#1 started on worker-1.
    0.75 process-1  attempt-started    service/labels/1#1 started on worker-2.
    0.75 process-1  attempt-started    service/labels/2#1 started on worker-1.
    0.75 process-1  attempt-started    job/job-0@1#1 started on worker-2.
    0.95 process-2  store-unreachable  The log does not answer: log.read (peer log): log.read (peer log): status 503: outage
    1.45 process-1  store-unreachable  The log does not answer: log.read (peer log): log.read (peer log): status 503: outage
   63.04 process-1  store-reachable    The log answers again.
   63.05 process-1  lease-lost         The lease of region/0 went to process-2.
   63.10 process-2  store-reachable    The log answers again.
   63.10 process-2  lease-claimed      Holds the lease of region/0, epoch 2.
   64.50 process-2  attempt-ended      service/labels/0#1 ended: lapsed. the lease has lapsed
   64.50 process-2  attempt-ended      service/labels/2#1 ended: lapsed. the lease has lapsed
   64.70 process-2  attempt-placed     service/labels/0#2 goes to worker-1: score 0.300, 2 of 2 workers had room.
   64.70 process-2  attempt-placed     service/labels/2#2 goes to worker-1: score -7.043, 2 of 2 workers had room.
   64.70 process-2  attempt-started    service/labels/0#2 started on worker-1.
   64.70 process-2  attempt-started    service/labels/2#2 started on worker-1.
  109.30 process-2  attempt-ended      service/labels/1#1 ended: not-started. the worker does not know the attempt
  109.30 process-2  attempt-ended      job/job-0@1#1 ended: not-started. the worker does not know the attempt
  109.50 process-2  attempt-placed     service/labels/1#2 goes to worker-2: score 0.300, 2 of 2 workers had room.
  109.50 process-2  attempt-placed     job/job-0@1#2 goes to worker-2: score -0.763, 2 of 2 workers had room.
  109.50 process-2  attempt-started    service/labels/1#2 started on worker-2.
  109.50 process-2  attempt-started    job/job-0@1#2 started on worker-2.
  115.70 process-2  attempt-ended      job/job-0@1#2 ended: finished. 
`

exports[`packages/proving/dist/tests/invariants/golden-runs.test.js > TAP > a worker fails every task that it starts > must match snapshot 1`] = `
    0.25 process-1  lease-claimed      Holds the lease of region/0, epoch 1.
    0.45 process-1  worker-joined      worker-1 at worker-1 takes tasks.
    0.45 process-1  worker-joined      worker-2 at worker-2 takes tasks.
    0.45 process-1  worker-joined      worker-3 at worker-3 takes tasks.
    0.45 process-1  worker-joined      worker-4 at worker-4 takes tasks.
    0.65 process-1  attempt-placed     service/labels/0#1 goes to worker-1: score 0.300, 4 of 4 workers had room.
    0.65 process-1  attempt-placed     service/labels/1#1 goes to worker-2: score 0.300, 4 of 4 workers had room.
    0.65 process-1  attempt-placed     service/labels/2#1 goes to worker-3: score -2.200, 4 of 4 workers had room.
    0.65 process-1  attempt-placed     job/job-0@1#1 goes to worker-4: score -0.300, 4 of 4 workers had room.
    0.65 process-1  attempt-placed     job/job-1@1#1 goes to worker-4: score -0.472, 4 of 4 workers had room.
    0.65 process-1  attempt-placed     job/job-2@1#1 goes to worker-4: score -0.624, 4 of 4 workers had room.
    0.65 process-1  attempt-placed     job/job-3@1#1 goes to worker-1: score -0.757, 4 of 4 workers had room.
    0.65 process-1  attempt-placed     job/job-4@1#1 goes to worker-2: score -0.757, 4 of 4 workers had room.
    0.65 process-1  attempt-placed     job/job-5@1#1 goes to worker-3: score -0.757, 4 of 4 workers had room.
    0.65 process-1  attempt-placed     job/job-6@1#1 goes to worker-4: score -0.758, 4 of 4 workers had room.
    0.65 process-1  attempt-placed     job/job-7@1#1 goes to worker-1: score -0.872, 3 of 4 workers had room.
    0.65 process-1  attempt-placed     job/job-8@1#1 goes to worker-2: score -0.890, 4 of 4 workers had room.
    0.65 process-1  attempt-placed     job/job-9@1#1 goes to worker-4: score -0.901, 4 of 4 workers had room.
    0.65 process-1  attempt-placed     job/job-10@1#1 goes to worker-3: score -0.920, 2 of 4 workers had room.
    0.65 process-1  attempt-placed     job/job-11@1#1 goes to worker-2: score -1.033, 2 of 4 workers had room.
    0.75 process-1  attempt-started    service/labels/0#1 started on worker-1.
    0.75 process-1  attempt-started    service/labels/1#1 started on worker-2.
    0.75 process-1  attempt-started    service/labels/2#1 started on worker-3.
    0.75 process-1  attempt-started    job/job-0@1#1 started on worker-4.
    0.75 process-1  attempt-started    job/job-3@1#1 started on worker-1.
    0.75 process-1  attempt-started    job/job-4@1#1 started on worker-2.
    0.75 process-1  attempt-started    job/job-5@1#1 started on worker-3.
    0.75 process-1  attempt-started    job/job-1@1#1 started on worker-4.
    0.75 process-1  attempt-started    job/job-7@1#1 started on worker-1.
    0.75 process-1  attempt-started    job/job-8@1#1 started on worker-2.
    0.75 process-1  attempt-started    job/job-10@1#1 started on worker-3.
    0.75 process-1  attempt-started    job/job-2@1#1 started on worker-4.
    0.75 process-1  attempt-started    job/job-11@1#1 started on worker-2.
    0.75 process-1  attempt-started    job/job-6@1#1 started on worker-4.
    0.75 process-1  attempt-started    job/job-9@1#1 started on worker-4.
    0.85 process-1  attempt-ended      service/labels/1#1 ended: failed. the worker is broken
    0.85 process-1  attempt-ended      job/job-4@1#1 ended: failed. the worker is broken
    0.85 process-1  attempt-ended      job/job-8@1#1 ended: failed. the worker is broken
    0.85 process-1  attempt-ended      job/job-11@1#1 ended: failed. the worker is broken
    1.05 process-1  worker-probation   worker-2 is probation: since 1800000001000 after 4 tasks failed only there.
    1.45 process-1  attempt-placed     service/labels/1#2 goes to worker-3: score -10.628, 2 of 3 workers had room.
    1.45 process-1  attempt-placed     job/job-4@1#2 goes to worker-1: score -0.996, 2 of 3 workers had room.
    1.45 process-1  attempt-placed     job/job-8@1#2 goes to worker-3: score -1.530, 1 of 3 workers had room.
    1.45 process-1  attempt-started    service/labels/1#2 started on worker-3.
    1.45 process-1  attempt-started    job/job-4@1#2 started on worker-1.
    1.45 process-1  attempt-started    job/job-8@1#2 started on worker-3.
    3.85 process-1  attempt-ended      job/job-0@1#1 ended: finished. 
    8.05 process-1  attempt-ended      job/job-6@1#1 ended: finished. 
    8.25 process-1  attempt-placed     job/job-11@1#2 goes to worker-4: score -0.709, 1 of 3 workers had room.
    8.25 process-1  attempt-started    job/job-11@1#2 started on worker-4.
    9.65 process-1  attempt-ended      job/job-7@1#1 ended: finished. 
   13.45 process-1  attempt-ended      job/job-2@1#1 ended: finished. 
   18.45 process-1  attempt-ended      job/job-1@1#1 ended: finished. 
   27.45 process-1  attempt-ended      job/job-11@1#2 ended: finished. 
   30.65 process-1  attempt-ended      job/job-8@1#2 ended: finished. 
   31.25 process-1  worker-joined      worker-2 is ready: probation is over.
   31.45 process-1  worker-probation   worker-2 is probation: since 1800000031400 after 4 tasks failed only there.
   33.45 process-1  attempt-ended      job/job-9@1#1 ended: finished. 
   37.65 process-1  attempt-ended      job/job-3@1#1 ended: finished. 
   42.65 process-1  attempt-ended      job/job-4@1#2 ended: finished. 
   51.65 process-1  attempt-ended      job/job-5@1#1 ended: finished. 
   61.65 process-1  worker-joined      worker-2 is ready: probation is over.
   61.85 process-1  worker-probation   worker-2 is probation: since 1800000061800 after 4 tasks failed only there.
   65.65 process-1  attempt-ended      job/job-10@1#1 ended: finished. 
`

exports[`packages/proving/dist/tests/invariants/golden-runs.test.js > TAP > a worker is drained while responses are lost > must match snapshot 1`] = `
    0.25 process-1  lease-claimed      Holds the lease of region/0, epoch 1.
    0.45 process-1  worker-joined      worker-1 at worker-1 takes tasks.
    0.45 process-1  worker-joined      worker-2 at worker-2 takes tasks.
    0.45 process-1  worker-joined      worker-3 at worker-3 takes tasks.
    0.65 process-1  attempt-placed     service/labels/0#1 goes to worker-1: score 0.300, 3 of 3 workers had room.
    0.65 process-1  attempt-placed     service/labels/1#1 goes to worker-2: score 0.300, 3 of 3 workers had room.
    0.65 process-1  attempt-placed     service/labels/2#1 goes to worker-3: score -2.200, 3 of 3 workers had room.
    0.65 process-1  attempt-placed     job/job-0@1#1 goes to worker-1: score -0.757, 3 of 3 workers had room.
    0.65 process-1  attempt-placed     job/job-1@1#1 goes to worker-2: score -0.757, 3 of 3 workers had room.
    0.65 process-1  attempt-placed     job/job-2@1#1 goes to worker-3: score -0.757, 3 of 3 workers had room.
    0.65 process-1  attempt-placed     job/job-3@1#1 goes to worker-3: score -0.891, 3 of 3 workers had room.
    0.65 process-1  attempt-placed     job/job-4@1#1 goes to worker-2: score -0.910, 3 of 3 workers had room.
    0.65 process-1  attempt-placed     job/job-5@1#1 goes to worker-1: score -0.929, 3 of 3 workers had room.
    0.75 process-1  attempt-started    service/labels/0#1 started on worker-1.
    0.75 process-1  attempt-started    service/labels/1#1 started on worker-2.
    0.75 process-1  attempt-started    service/labels/2#1 started on worker-3.
    0.75 process-1  attempt-started    job/job-0@1#1 started on worker-1.
    0.75 process-1  attempt-started    job/job-1@1#1 started on worker-2.
    0.75 process-1  attempt-started    job/job-2@1#1 started on worker-3.
    0.75 process-1  attempt-started    job/job-5@1#1 started on worker-1.
    0.75 process-1  attempt-started    job/job-4@1#1 started on worker-2.
    0.75 process-1  attempt-started    job/job-3@1#1 started on worker-3.
    3.85 process-1  attempt-ended      job/job-0@1#1 ended: finished. 
    6.65 process-1  attempt-evicting   job/job-5@1#1 is evicted: the worker is drained.
    6.65 process-1  attempt-placed     service/labels/3#1 goes to worker-2: score -8.157, 2 of 2 workers had room.
    6.65 process-1  attempt-started    service/labels/3#1 started on worker-2.
    6.85 process-1  attempt-evicting   service/labels/0#1 is evicted: the worker is drained.
    7.05 process-1  attempt-ended      job/job-5@1#1 ended: evicted. asked to stop
    7.05 process-1  attempt-ended      service/labels/0#1 ended: evicted. asked to stop
    7.25 process-1  attempt-placed     job/job-5@1#2 goes to worker-3: score -1.005, 2 of 2 workers had room.
    7.25 process-1  attempt-started    job/job-5@1#2 started on worker-3.
   15.85 process-1  attempt-ended      job/job-1@1#1 ended: finished. 
   16.45 process-1  attempt-ended      job/job-3@1#1 ended: finished. 
   17.85 process-1  attempt-ended      job/job-4@1#1 ended: finished. 
   22.45 process-1  attempt-ended      job/job-2@1#1 ended: finished. 
   56.45 process-1  attempt-ended      job/job-5@1#2 ended: finished. 
`

exports[`packages/proving/dist/tests/invariants/golden-runs.test.js > TAP > all processes are replaced at once > must match snapshot 1`] = `
    0.25 process-1  lease-claimed      Holds the lease of region/0, epoch 1.
    0.45 process-1  worker-joined      worker-1 at worker-1 takes tasks.
    0.45 process-1  worker-joined      worker-2 at worker-2 takes tasks.
    0.45 process-1  worker-joined      worker-3 at worker-3 takes tasks.
    0.65 process-1  attempt-placed     service/labels/0#1 goes to worker-1: score 0.300, 3 of 3 workers had room.
    0.65 process-1  attempt-placed     service/labels/1#1 goes to worker-2: score 0.300, 3 of 3 workers had room.
    0.65 process-1  attempt-placed     service/labels/2#1 goes to worker-3: score -2.200, 3 of 3 workers had room.
    0.65 process-1  attempt-placed     job/job-0@1#1 goes to worker-1: score -0.757, 3 of 3 workers had room.
    0.65 process-1  attempt-placed     job/job-1@1#1 goes to worker-2: score -0.757, 3 of 3 workers had room.
    0.65 process-1  attempt-placed     job/job-2@1#1 goes to worker-3: score -0.757, 3 of 3 workers had room.
    0.65 process-1  attempt-placed     job/job-3@1#1 goes to worker-3: score -0.891, 3 of 3 workers had room.
    0.65 process-1  attempt-placed     job/job-4@1#1 goes to worker-2: score -0.910, 3 of 3 workers had room.
    0.65 process-1  attempt-placed     job/job-5@1#1 goes to worker-1: score -0.929, 3 of 3 workers had room.
    0.75 process-1  attempt-started    service/labels/0#1 started on worker-1.
    0.75 process-1  attempt-started    service/labels/1#1 started on worker-2.
    0.75 process-1  attempt-started    service/labels/2#1 started on worker-3.
    0.75 process-1  attempt-started    job/job-0@1#1 started on worker-1.
    0.75 process-1  attempt-started    job/job-1@1#1 started on worker-2.
    0.75 process-1  attempt-started    job/job-2@1#1 started on worker-3.
    0.75 process-1  attempt-started    job/job-5@1#1 started on worker-1.
    0.75 process-1  attempt-started    job/job-4@1#1 started on worker-2.
    0.75 process-1  attempt-started    job/job-3@1#1 started on worker-3.
   10.05 process-3  lease-claimed      Holds the lease of region/0, epoch 2.
   11.45 process-3  attempt-ended      service/labels/0#1 ended: lapsed. the lease has lapsed
   11.45 process-3  attempt-ended      job/job-0@1#1 ended: lapsed. the lease has lapsed
   11.45 process-3  attempt-ended      job/job-5@1#1 ended: lapsed. the lease has lapsed
   11.45 process-3  attempt-ended      service/labels/1#1 ended: lapsed. the lease has lapsed
   11.45 process-3  attempt-ended      job/job-1@1#1 ended: lapsed. the lease has lapsed
   11.45 process-3  attempt-ended      job/job-4@1#1 ended: lapsed. the lease has lapsed
   11.45 process-3  attempt-ended      service/labels/2#1 ended: lapsed. the lease has lapsed
   11.45 process-3  attempt-ended      job/job-2@1#1 ended: lapsed. the lease has lapsed
   11.45 process-3  attempt-ended      job/job-3@1#1 ended: lapsed. the lease has lapsed
   11.65 process-3  attempt-placed     service/labels/0#2 goes to worker-1: score 0.300, 3 of 3 workers had room.
   11.65 process-3  attempt-placed     service/labels/1#2 goes to worker-2: score 0.300, 3 of 3 workers had room.
   11.65 process-3  attempt-placed     service/labels/2#2 goes to worker-3: score -2.200, 3 of 3 workers had room.
   11.65 process-3  attempt-placed     job/job-0@1#2 goes to worker-1: score -0.757, 3 of 3 workers had room.
   11.65 process-3  attempt-placed     job/job-1@1#2 goes to worker-2: score -0.757, 3 of 3 workers had room.
   11.65 process-3  attempt-placed     job/job-2@1#2 goes to worker-3: score -0.757, 3 of 3 workers had room.
   11.65 process-3  attempt-placed     job/job-3@1#2 goes to worker-3: score -0.891, 3 of 3 workers had room.
   11.65 process-3  attempt-placed     job/job-4@1#2 goes to worker-2: score -0.910, 3 of 3 workers had room.
   11.65 process-3  attempt-placed     job/job-5@1#2 goes to worker-1: score -0.929, 3 of 3 workers had room.
   11.65 process-3  attempt-started    service/labels/0#2 started on worker-1.
   11.65 process-3  attempt-started    service/labels/1#2 started on worker-2.
   11.65 process-3  attempt-started    service/labels/2#2 started on worker-3.
   11.65 process-3  attempt-started    job/job-0@1#2 started on worker-1.
   11.65 process-3  attempt-started    job/job-1@1#2 started on worker-2.
   11.65 process-3  attempt-started    job/job-2@1#2 started on worker-3.
   11.65 process-3  attempt-started    job/job-5@1#2 started on worker-1.
   11.65 process-3  attempt-started    job/job-4@1#2 started on worker-2.
   11.65 process-3  attempt-started    job/job-3@1#2 started on worker-3.
   23.85 process-3  attempt-ended      job/job-0@1#2 ended: finished. 
   23.85 process-3  attempt-ended      job/job-1@1#2 ended: finished. 
   26.85 process-3  attempt-ended      job/job-2@1#2 ended: finished. 
   32.85 process-3  attempt-ended      job/job-4@1#2 ended: finished. 
   46.85 process-3  attempt-ended      job/job-3@1#2 ended: finished. 
   65.85 process-3  attempt-ended      job/job-5@1#2 ended: finished. 
`

exports[`packages/proving/dist/tests/invariants/golden-runs.test.js > TAP > five operators publish at the same moment > must match snapshot 1`] = `
    0.25 process-1  lease-claimed      Holds the lease of region/0, epoch 1.
    0.45 process-1  worker-joined      worker-1 at worker-1 takes tasks.
    0.45 process-1  worker-joined      worker-2 at worker-2 takes tasks.
    0.65 process-1  attempt-placed     service/labels/0#1 goes to worker-1: score 0.300, 2 of 2 workers had room.
    0.65 process-1  attempt-placed     service/labels/1#1 goes to worker-2: score 0.300, 2 of 2 workers had room.
    0.65 process-1  attempt-placed     service/labels/2#1 goes to worker-1: score -7.043, 2 of 2 workers had room.
    0.65 process-1  attempt-placed     job/job-0@1#1 goes to worker-2: score -0.757, 2 of 2 workers had room.
    0.65 process-1  attempt-placed     job/job-1@1#1 goes to worker-2: score -0.929, 2 of 2 workers had room.
    0.75 process-1  attempt-started    service/labels/0#1 started on worker-1.
    0.75 process-1  attempt-started    service/labels/1#1 started on worker-2.
    0.75 process-1  attempt-started    service/labels/2#1 started on worker-1.
    0.75 process-1  attempt-started    job/job-0@1#1 started on worker-2.
    0.75 process-1  attempt-started    job/job-1@1#1 started on worker-2.
    6.05 process-1  attempt-ended      job/job-0@1#1 ended: finished. 
   10.85 process-1  attempt-ended      job/job-1@1#1 ended: finished. 
`

exports[`packages/proving/dist/tests/invariants/golden-runs.test.js > TAP > the old holder reaches a worker that the new one cannot > must match snapshot 1`] = `
    0.25 process-1  lease-claimed      Holds the lease of region/0, epoch 1.
    0.45 process-1  worker-joined      worker-1 at worker-1 takes tasks.
    0.45 process-1  worker-joined      worker-2 at worker-2 takes tasks.
    0.65 process-1  attempt-placed     service/labels/0#1 goes to worker-1: score 0.300, 2 of 2 workers had room.
    0.65 process-1  attempt-placed     service/labels/1#1 goes to worker-2: score 0.300, 2 of 2 workers had room.
    0.65 process-1  attempt-placed     service/labels/2#1 goes to worker-1: score -7.043, 2 of 2 workers had room.
    0.65 process-1  attempt-placed     job/job-0@1#1 goes to worker-2: score -0.757, 2 of 2 workers had room.
    0.65 process-1  attempt-placed     job/job-1@1#1 goes to worker-2: score -0.929, 2 of 2 workers had room.
    0.65 process-1  attempt-placed     job/job-2@1#1 goes to worker-2: score -1.081, 2 of 2 workers had room.
    0.65 process-1  attempt-placed     job/job-3@1#1 goes to worker-1: score -1.215, 1 of 2 workers had room.
    0.75 process-1  attempt-started    service/labels/0#1 started on worker-1.
    0.75 process-1  attempt-started    service/labels/1#1 started on worker-2.
    0.75 process-1  attempt-started    service/labels/2#1 started on worker-1.
    0.75 process-1  attempt-started    job/job-0@1#1 started on worker-2.
    0.75 process-1  attempt-started    job/job-3@1#1 started on worker-1.
    0.75 process-1  attempt-started    job/job-1@1#1 started on worker-2.
    0.75 process-1  attempt-started    job/job-2@1#1 started on worker-2.
    4.45 process-1  store-unreachable  The log does not answer: log.read (peer log): log.read (peer log): cut off
    6.35 process-2  lease-claimed      Holds the lease of region/0, epoch 2.
    9.95 process-2  worker-unreachable worker-2 is unreachable: no answer for 3 s.
    9.95 process-2  worker-unreachable service/labels/1#1 is out of reach: worker worker-2 is silent.
   10.15 process-2  attempt-placed     service/labels/3#1 goes to worker-1: score -14.971, 1 of 1 workers had room.
   10.15 process-2  attempt-started    service/labels/3#1 started on worker-1.
   30.35 process-2  attempt-ended      job/job-3@1#1 ended: finished. 
   52.15 process-2  attempt-ended      service/labels/1#1 ended: lapsed. worker worker-2 is silent and the lease has lapsed
   52.15 process-2  attempt-ended      job/job-0@1#1 ended: lapsed. worker worker-2 is silent and the lease has lapsed
   52.15 process-2  attempt-ended      job/job-1@1#1 ended: lapsed. worker worker-2 is silent and the lease has lapsed
   52.15 process-2  attempt-ended      job/job-2@1#1 ended: lapsed. worker worker-2 is silent and the lease has lapsed
   52.35 process-2  attempt-placed     job/job-0@1#2 goes to worker-1: score -0.787, 1 of 1 workers had room.
   52.35 process-2  attempt-placed     job/job-1@1#2 goes to worker-1: score -1.808, 1 of 1 workers had room.
   52.35 process-2  attempt-started    job/job-0@1#2 started on worker-1.
   52.35 process-2  attempt-started    job/job-1@1#2 started on worker-1.
   57.55 process-2  attempt-ended      job/job-0@1#2 ended: finished. 
   57.75 process-2  attempt-placed     job/job-2@1#2 goes to worker-1: score -1.825, 1 of 1 workers had room.
   57.75 process-2  attempt-started    job/job-2@1#2 started on worker-1.
   62.15 process-2  worker-joined      worker-2 is ready: answers again.
   62.34 process-1  store-reachable    The log answers again.
   62.34 process-1  lease-lost         The lease of region/0 went to process-2.
   63.95 process-2  attempt-ended      job/job-1@1#2 ended: finished. 
  105.95 process-2  attempt-ended      job/job-2@1#2 ended: finished. 
`

exports[`packages/proving/dist/tests/invariants/golden-runs.test.js > TAP > urgent work arrives with a burst of cancellations > must match snapshot 1`] = `
    0.25 process-1  lease-claimed      Holds the lease of region/0, epoch 1.
    0.45 process-1  worker-joined      worker-1 at worker-1 takes tasks.
    0.45 process-1  worker-joined      worker-2 at worker-2 takes tasks.
    0.65 process-1  attempt-placed     service/labels/0#1 goes to worker-1: score 0.300, 2 of 2 workers had room.
    0.65 process-1  attempt-placed     service/labels/1#1 goes to worker-2: score 0.300, 2 of 2 workers had room.
    0.65 process-1  attempt-placed     service/labels/2#1 goes to worker-1: score -7.043, 2 of 2 workers had room.
    0.65 process-1  attempt-placed     job/job-0@1#1 goes to worker-2: score -0.757, 2 of 2 workers had room.
    0.65 process-1  attempt-placed     job/job-1@1#1 goes to worker-2: score -0.929, 2 of 2 workers had room.
    0.65 process-1  attempt-placed     job/job-2@1#1 goes to worker-2: score -1.081, 2 of 2 workers had room.
    0.65 process-1  attempt-placed     job/job-3@1#1 goes to worker-1: score -1.215, 1 of 2 workers had room.
    0.65 process-1  attempt-placed     job/job-4@1#1 goes to worker-2: score -1.215, 2 of 2 workers had room.
    0.65 process-1  attempt-placed     job/job-5@1#1 goes to worker-1: score -1.329, 1 of 2 workers had room.
    0.65 process-1  attempt-placed     job/job-8@1#1 goes to worker-1: score -1.491, 1 of 2 workers had room.
    0.65 process-1  attempt-placed     job/job-12@1#1 goes to worker-2: score -1.348, 1 of 2 workers had room.
    0.75 process-1  attempt-started    service/labels/0#1 started on worker-1.
    0.75 process-1  attempt-started    service/labels/1#1 started on worker-2.
    0.75 process-1  attempt-started    service/labels/2#1 started on worker-1.
    0.75 process-1  attempt-started    job/job-0@1#1 started on worker-2.
    0.75 process-1  attempt-started    job/job-3@1#1 started on worker-1.
    0.75 process-1  attempt-started    job/job-1@1#1 started on worker-2.
    0.75 process-1  attempt-started    job/job-5@1#1 started on worker-1.
    0.75 process-1  attempt-started    job/job-2@1#1 started on worker-2.
    0.75 process-1  attempt-started    job/job-8@1#1 started on worker-1.
    0.75 process-1  attempt-started    job/job-4@1#1 started on worker-2.
    0.75 process-1  attempt-started    job/job-12@1#1 started on worker-2.
    5.65 process-1  attempt-evicting   job/job-0@1#1 is evicted: withdrawn by a release note.
    5.65 process-1  attempt-evicting   job/job-1@1#1 is evicted: withdrawn by a release note.
    5.65 process-1  attempt-evicting   job/job-2@1#1 is evicted: withdrawn by a release note.
    5.65 process-1  attempt-evicting   job/job-3@1#1 is evicted: withdrawn by a release note.
    5.65 process-1  attempt-evicting   job/job-4@1#1 is evicted: withdrawn by a release note.
    5.65 process-1  attempt-evicting   job/job-5@1#1 is evicted: withdrawn by a release note.
    5.85 process-1  attempt-ended      job/job-3@1#1 ended: cancelled. asked to stop
    5.85 process-1  attempt-ended      job/job-5@1#1 ended: cancelled. asked to stop
    5.85 process-1  attempt-ended      job/job-0@1#1 ended: cancelled. asked to stop
    5.85 process-1  attempt-ended      job/job-1@1#1 ended: cancelled. asked to stop
    5.85 process-1  attempt-ended      job/job-2@1#1 ended: cancelled. asked to stop
    5.85 process-1  attempt-ended      job/job-4@1#1 ended: cancelled. asked to stop
    6.05 process-1  attempt-placed     job/urgent-1-3@4#1 goes to worker-2: score -0.910, 2 of 2 workers had room.
    6.05 process-1  attempt-placed     job/job-7@1#1 goes to worker-1: score -1.357, 1 of 2 workers had room.
    6.05 process-1  attempt-placed     job/job-9@1#1 goes to worker-2: score -0.996, 2 of 2 workers had room.
    6.05 process-1  attempt-placed     job/job-13@1#1 goes to worker-1: score -1.481, 1 of 2 workers had room.
    6.05 process-1  attempt-started    job/urgent-1-3@4#1 started on worker-2.
    6.05 process-1  attempt-started    job/job-7@1#1 started on worker-1.
    6.05 process-1  attempt-started    job/job-9@1#1 started on worker-2.
    6.05 process-1  attempt-started    job/job-13@1#1 started on worker-1.
    9.25 process-1  attempt-ended      job/job-12@1#1 ended: finished. 
    9.65 process-1  attempt-evicting   job/job-7@1#1 is evicted: room for job urgent-2-4.
    9.65 process-1  attempt-evicting   job/job-13@1#1 is evicted: room for job urgent-2-4.
    9.85 process-1  attempt-ended      job/job-7@1#1 ended: evicted. asked to stop
    9.85 process-1  attempt-ended      job/job-13@1#1 ended: evicted. asked to stop
   10.05 process-1  attempt-placed     job/urgent-2-4@5#1 goes to worker-1: score -1.357, 1 of 2 workers had room.
   10.05 process-1  attempt-started    job/urgent-2-4@5#1 started on worker-1.
   15.25 process-1  attempt-ended      job/urgent-1-3@4#1 ended: finished. 
   15.45 process-1  attempt-placed     job/job-7@1#2 goes to worker-2: score -0.881, 1 of 2 workers had room.
   15.45 process-1  attempt-placed     job/job-10@1#1 goes to worker-2: score -1.005, 1 of 2 workers had room.
   15.45 process-1  attempt-started    job/job-7@1#2 started on worker-2.
   15.45 process-1  attempt-started    job/job-10@1#1 started on worker-2.
   18.25 process-1  attempt-ended      job/urgent-2-4@5#1 ended: finished. 
   18.45 process-1  attempt-placed     job/job-11@1#1 goes to worker-1: score -1.348, 1 of 2 workers had room.
   18.45 process-1  attempt-placed     job/job-13@1#2 goes to worker-1: score -1.673, 1 of 2 workers had room.
   18.45 process-1  attempt-started    job/job-11@1#1 started on worker-1.
   18.45 process-1  attempt-started    job/job-13@1#2 started on worker-1.
   19.65 process-1  attempt-ended      job/job-9@1#1 ended: finished. 
   21.65 process-1  attempt-ended      job/job-7@1#2 ended: finished. 
   27.65 process-1  attempt-ended      job/job-8@1#1 ended: finished. 
   29.65 process-1  attempt-ended      job/job-10@1#1 ended: finished. 
   36.65 process-1  attempt-ended      job/job-13@1#2 ended: finished. 
   48.65 process-1  attempt-ended      job/job-11@1#1 ended: finished. 
`
