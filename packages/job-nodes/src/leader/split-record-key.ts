import {
  JOB_KEY_PREFIX,
  PART_SEPARATOR,
  PROGRESS_KEY_PREFIX,
} from './record-keys.js';

/** What a record is about. */
export interface RecordKeyParts {
  readonly kind: 'job' | 'progress';
  readonly identifier: string;
  /** Name of the record in the job's progress; empty for the main one. */
  readonly part: string;
}

/** Returns what a key names; undefined if it is no record of a job. */
export function splitRecordKey(key: string): RecordKeyParts | undefined {
  if (key.startsWith(JOB_KEY_PREFIX)) {
    const identifier = key.slice(JOB_KEY_PREFIX.length);
    return { kind: 'job', identifier, part: '' };
  }
  if (key.startsWith(PROGRESS_KEY_PREFIX)) {
    const name = key.slice(PROGRESS_KEY_PREFIX.length);
    const [identifier = '', part = ''] = name.split(PART_SEPARATOR, 2);
    return { kind: 'progress', identifier, part };
  }
  return undefined;
}
