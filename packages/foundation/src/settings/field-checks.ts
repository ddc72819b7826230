import { isIP } from 'node:net';

import type { FieldDefinition } from './field-definition.js';
import type { FieldKind } from './field-kind.js';

/**
 * Returns a description of the allowed values if the value is invalid;
 * undefined if it is valid.
 */
export type FieldCheck = (
  value: string,
  field: FieldDefinition,
) => string | undefined;

const NAME_PATTERN = /^[a-z0-9][a-z0-9-]{0,62}$/;

const MAXIMUM_TEXT_CHARACTERS = 4096;

const MAXIMUM_PORT = 65_535;

function checkRange(
  value: number,
  field: FieldDefinition,
  unit: string,
): string | undefined {
  const minimum = field.minimum ?? 0;
  const maximum = field.maximum ?? Number.MAX_SAFE_INTEGER;
  const isInRange = value >= minimum && value <= maximum;
  return isInRange ? undefined : `${unit} from ${minimum} to ${maximum}`;
}

function checkNumber(
  value: string,
  field: FieldDefinition,
): string | undefined {
  const isDecimal = /^\d+(\.\d+)?$/.test(value);
  return checkRange(isDecimal ? Number(value) : Number.NaN, field, 'a number');
}

function checkWholeNumber(
  value: string,
  field: FieldDefinition,
): string | undefined {
  const isWholeNumber = /^\d+$/.test(value);
  return checkRange(
    isWholeNumber ? Number(value) : Number.NaN,
    field,
    'a whole number',
  );
}

/** Returns whether a text is an IP address and port such as `127.0.0.1:80`. */
export function isAddress(value: string): boolean {
  const separator = value.lastIndexOf(':');
  const host = value.slice(0, separator).replace(/^\[|\]$/g, '');
  const port = value.slice(separator + 1);
  return isIP(host) !== 0 && /^\d+$/.test(port) && Number(port) <= MAXIMUM_PORT;
}

/** The check for each kind of field. */
export const fieldChecks: Readonly<Record<FieldKind, FieldCheck>> = {
  text: value =>
    value.length <= MAXIMUM_TEXT_CHARACTERS
      ? undefined
      : `at most ${MAXIMUM_TEXT_CHARACTERS} characters`,
  name: value =>
    NAME_PATTERN.test(value)
      ? undefined
      : 'lower-case letters, digits and hyphens, at most 63',
  'whole-number': checkWholeNumber,
  number: checkNumber,
  boolean: value =>
    value === 'true' || value === 'false' ? undefined : 'true or false',
  address: value =>
    isAddress(value) ? undefined : 'an IP number and port, as 127.0.0.1:7000',
  choice: (value, field) =>
    (field.choices ?? []).includes(value)
      ? undefined
      : (field.choices ?? []).join(', '),
  list: value =>
    value.length <= MAXIMUM_TEXT_CHARACTERS
      ? undefined
      : `at most ${MAXIMUM_TEXT_CHARACTERS} characters`,
};
