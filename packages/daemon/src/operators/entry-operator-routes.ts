import type { JsonResponse } from '@basilcourse/foundation/http/json-response';
import type { JsonRoutes } from '@basilcourse/foundation/http/json-server';
import type { UpstreamRouter } from '@basilcourse/request-plane/routing/upstream-router';
import type { Configuration } from '@basilcourse/shared-state/configuration/configuration';

import type { NodeCore } from '../node/node-core.js';
import type { CellManager } from '../scheduling/cell-manager.js';
import { createCommonOperatorRoutes } from './common-operator-routes.js';
import type { DecisionHistory } from './decision-history.js';
import { publishNote } from './publish-note.js';
import { statusOf } from './status-of.js';

/** Dependencies of the routes of an entry. */
interface EntryOperatorDependencies {
  readonly history: DecisionHistory;
  readonly cells: CellManager;
  readonly router: UpstreamRouter;
  readonly isStopping: () => boolean;
}

function configurationBody(configuration: Configuration): unknown {
  return {
    revision: configuration.revision,
    limits: configuration.limits,
    teams: [...configuration.teams.values()],
    services: [...configuration.services.values()],
    jobs: [...configuration.jobs.values()],
    drained: [...configuration.drained],
    shapes: [...configuration.shapes.values()],
  };
}

function explain(
  core: NodeCore,
  { history }: EntryOperatorDependencies,
  subject: string,
): JsonResponse {
  const { scheduling, configuration } = core.state.fold;
  const tasks = [...scheduling.tasks.values()].filter(
    ({ task }) =>
      task === subject ||
      task.startsWith(`service/${subject}/`) ||
      task.startsWith(`job/${subject}@`),
  );
  const attempts = [...scheduling.attempts.values()].filter(
    ({ task, worker }) =>
      worker === subject || tasks.some(progress => progress.task === task),
  );
  const subjects = new Set([subject, ...tasks.map(({ task }) => task)]);
  const decisions = [...subjects].flatMap(name => history.of(name));
  const isRecorded =
    decisions.length > 0 ||
    tasks.length > 0 ||
    configuration.services.has(subject) ||
    configuration.jobs.has(subject) ||
    scheduling.workers.has(subject);
  return isRecorded
    ? {
        status: 200,
        body: {
          subject,
          worker: scheduling.workers.get(subject),
          tasks,
          attempts,
          decisions,
        },
      }
    : { status: 404, body: { error: `nothing is known of ${subject}` } };
}

function unreadyReason(core: NodeCore, isStopping: boolean): string {
  if (isStopping) {
    return 'the entry is stopping';
  }
  return core.state.fold.next > 0 ? '' : 'no record of the log was read yet';
}

/** Creates the HTTP routes that an entry serves to operators. */
export function createEntryOperatorRoutes(
  core: NodeCore,
  dependencies: EntryOperatorDependencies,
): JsonRoutes {
  const { state, members } = core;
  return {
    ...createCommonOperatorRoutes(core, () =>
      unreadyReason(core, dependencies.isStopping()),
    ),
    'GET /configuration': () => ({
      status: 200,
      body: configurationBody(state.fold.configuration),
    }),
    'GET /notes': () => ({
      status: 200,
      body: [...state.fold.configuration.verdicts.values()],
    }),
    'GET /members': () => ({
      status: 200,
      body: [core.own.get(), ...members.all.map(({ member }) => member)],
    }),
    'GET /status': () => ({ status: 200, body: statusOf(core, dependencies) }),
    'GET /explain': ({ query }) =>
      explain(core, dependencies, query.get('subject') ?? ''),
    'POST /release-notes': ({ body }) => publishNote(core, body),
  };
}
