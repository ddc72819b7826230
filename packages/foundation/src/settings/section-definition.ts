import type { FieldDefinition } from './field-definition.js';

/** Definition of one kind of section in an INI file. */
export interface SectionDefinition {
  /** Section name; for a named section, the part before the first space. */
  readonly kind: string;
  /** True for sections of the form `[kind name]`. */
  readonly named: boolean;
  readonly required: boolean;
  readonly description: string;
  readonly fields: readonly FieldDefinition[];
}
