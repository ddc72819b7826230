import { readFile } from 'node:fs/promises';

import { formatProblem } from '@basilcourse/foundation/settings/format-problem';
import { parseReleaseNote } from '@basilcourse/shared-state/release-note/parse-release-note';
import type { ReleaseNote } from '@basilcourse/shared-state/release-note/release-note';

/** A release note read from a file, with the problems found in it. */
export interface NoteFile {
  readonly text: string;
  readonly note: ReleaseNote;
  readonly problems: readonly string[];
}

/** Reads a release note from a file and checks it. */
export async function readNoteFile(file: string): Promise<NoteFile> {
  const text = await readFile(file, 'utf8');
  const { note, problems } = parseReleaseNote(text);
  return {
    text,
    note,
    problems: problems.map(problem => formatProblem(file, problem)),
  };
}
