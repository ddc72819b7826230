import type { FieldKind } from './field-kind.js';

/** Definition of one key of an INI section. */
export interface FieldDefinition {
  readonly key: string;
  readonly kind: FieldKind;
  readonly description: string;
  /**
   * Value used when the key is absent; a key without a fallback is required.
   */
  readonly fallback?: string;
  readonly minimum?: number;
  readonly maximum?: number;
  readonly choices?: readonly string[];
}
