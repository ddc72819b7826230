import type { Static } from '@sinclair/typebox';
import { Type } from '@sinclair/typebox';

const MAXIMUM_IDENTIFIER_CHARACTERS = 200;

/** Schema of every record that basilcourse writes to the platform's log. */
export const RecordEnvelopeSchema = Type.Readonly(
  Type.Object({
    /** Unique; a second record with the same identifier is ignored. */
    id: Type.String({ maxLength: MAXIMUM_IDENTIFIER_CHARACTERS }),
    kind: Type.String({ maxLength: MAXIMUM_IDENTIFIER_CHARACTERS }),
    version: Type.Integer({ minimum: 1 }),
    /** Instance of the process that wrote the record. */
    writer: Type.String({ maxLength: MAXIMUM_IDENTIFIER_CHARACTERS }),
    /** Writer's clock in milliseconds since the epoch. */
    writtenAt: Type.Number(),
    body: Type.Unknown(),
  }),
);

/** A record of the log. */
export type RecordEnvelope = Static<typeof RecordEnvelopeSchema>;
