/** Kinds of values of a field in an INI file. */
export type FieldKind =
  | 'text'
  | 'name'
  | 'whole-number'
  | 'number'
  | 'boolean'
  | 'address'
  | 'choice'
  | 'list';
