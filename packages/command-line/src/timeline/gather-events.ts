import { messageOf } from '@basilcourse/foundation/errors/message-of';
import type { EventPage } from '@basilcourse/foundation/events/event-page';
import { mergePages } from '@basilcourse/foundation/events/merge-pages';
import { callJson } from '@basilcourse/foundation/http/call-json';

import type { EntryClient } from '../client/entry-client.js';
import type { GatheredEvents } from './gathered-events.js';

const GATHER_TIMEOUT_MILLISECONDS = 3000;

interface MemberView {
  readonly id: string;
  readonly state: string;
  readonly operatorsAddress: string;
}

interface GatherResult {
  readonly member: MemberView;
  readonly page: EventPage | undefined;
  readonly reason: string;
}

async function readEvents(
  member: MemberView,
  since: number,
): Promise<GatherResult> {
  try {
    const page = (await callJson({
      step: 'timeline.events',
      address: member.operatorsAddress,
      method: 'GET',
      path: `/events?since=${since}`,
      timeoutMilliseconds: GATHER_TIMEOUT_MILLISECONDS,
    })) as EventPage;
    return { member, page, reason: '' };
  } catch (error) {
    return { member, page: undefined, reason: messageOf(error) };
  }
}

function missingEventMessages({
  member,
  page,
  reason,
}: GatherResult): string[] {
  if (page === undefined) {
    return [`${member.id} is missing (${member.state}): ${reason}`];
  }
  return page.dropped > 0
    ? [`${member.id} has dropped ${page.dropped} earlier events`]
    : [];
}

/** Gathers the events of all processes in parallel and merges them. */
export async function gatherEvents(
  client: EntryClient,
  since: number,
): Promise<GatheredEvents> {
  const members = (await client.get(
    'timeline.members',
    '/members',
  )) as readonly MemberView[];
  const results = await Promise.all(
    members.map(member => readEvents(member, since)),
  );
  const pages = results.flatMap(({ page }) =>
    page === undefined ? [] : [page],
  );
  return {
    events: mergePages(pages),
    missing: results.flatMap(missingEventMessages),
    bytes: pages.reduce((sum, page) => sum + JSON.stringify(page).length, 0),
    processes: pages.map(page => page.process),
  };
}
