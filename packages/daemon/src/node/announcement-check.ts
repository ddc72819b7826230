import { isAddress } from '@basilcourse/foundation/settings/field-checks';
import { Type } from '@sinclair/typebox';
import { TypeCompiler } from '@sinclair/typebox/compiler';

const MAXIMUM_SLOTS = 1024;

const MAXIMUM_CONNECTIONS = 65_536;

const announcementSchema = Type.Object({
  service: Type.String({ pattern: '^[a-z0-9][a-z0-9-]{0,62}$' }),
  attempt: Type.String({ minLength: 1, maxLength: 200 }),
  address: Type.String({ maxLength: 100 }),
  slots: Type.Integer({ minimum: 1, maximum: MAXIMUM_SLOTS }),
  connections: Type.Integer({ minimum: 1, maximum: MAXIMUM_CONNECTIONS }),
  leaving: Type.Boolean(),
  left: Type.Optional(Type.Boolean()),
});

const compiledSchema = TypeCompiler.Compile(announcementSchema);

/** Returns the first problem of an upstream's announcement; empty if valid. */
export function announcementCheck(body: unknown): string {
  if (!compiledSchema.Check(body)) {
    const first = compiledSchema.Errors(body).First();
    return `${first?.path ?? ''} ${first?.message ?? 'malformed'}`;
  }
  return isAddress(body.address) ? '' : '/address must be an IP and port';
}
