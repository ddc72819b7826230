/** Kinds of records that change the configuration; every node folds these. */
export const CONFIGURATION_KINDS: ReadonlySet<string> = new Set([
  'release-note',
  'entry-joined',
  'entry-left',
]);

/** Version of the record bodies that this release writes. */
export const RECORD_VERSION = 1;
