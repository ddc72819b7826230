import type { Static } from '@sinclair/typebox';
import { Type } from '@sinclair/typebox';

const MAXIMUM_NOTE_CHARACTERS = 512 * 1024;

/** Body of a `release-note` record. */
export const ReleaseNoteBodySchema = Type.Object({
  operator: Type.Readonly(Type.String({ maxLength: 100 })),
  /** The INI text as the operator wrote it. */
  text: Type.Readonly(Type.String({ maxLength: MAXIMUM_NOTE_CHARACTERS })),
});

export type ReleaseNoteBody = Static<typeof ReleaseNoteBodySchema>;
