import type { Static } from '@sinclair/typebox';
import { Type } from '@sinclair/typebox';

import type { StoredRecord } from './stored-record.js';

const Offset = Type.Readonly(Type.Integer({ minimum: 0 }));

/** Schema of the answer to one read of the log. */
export const LogPageSchema = Type.Object({
  /** The fold validates each envelope on its own. */
  records: Type.Readonly(
    Type.Array(Type.Object({ offset: Offset, envelope: Type.Unknown() })),
  ),
  /** Oldest offset that retention has not dropped. */
  firstKept: Offset,
  /** Offset at which the next read continues. */
  next: Offset,
  /** Offset that the next append will be assigned. */
  end: Offset,
});

/** Answer to one read of the log. */
export type LogPage = Omit<Static<typeof LogPageSchema>, 'records'> & {
  readonly records: readonly StoredRecord[];
};
