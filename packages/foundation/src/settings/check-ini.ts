import { parse } from 'ini';

import type { CheckedFile } from './checked-file.js';
import type { CheckedSection } from './checked-section.js';
import { fieldChecks } from './field-checks.js';
import type { FieldDefinition } from './field-definition.js';
import { LineIndex } from './line-index.js';
import { nearestName } from './nearest-name.js';
import type { Problem } from './problem.js';
import type { SectionDefinition } from './section-definition.js';

/** Maximum length of an INI text; longer texts are not parsed. */
export const MAXIMUM_INI_CHARACTERS = 512 * 1024;

type RawSection = ReadonlyMap<string, string>;

function readSections(text: string): ReadonlyMap<string, RawSection> {
  // The parser splits section names at dots into nested sections. To prevent
  // this, dots are replaced by a private-use character, which no valid section
  // name contains, and restored after parsing.
  const parsed: unknown = parse(text.replaceAll('.', '\uE000'));
  const sections = new Map<string, RawSection>();
  for (const [name, values] of Object.entries(parsed as object)) {
    if (typeof values !== 'object' || values === null) {
      const stray = sections.get('') ?? new Map<string, string>();
      sections.set('', new Map([...stray, [name, String(values)]]));
      continue;
    }
    const section = new Map<string, string>();
    for (const [key, value] of Object.entries(values as object)) {
      const restored = String(value).replaceAll('\uE000', '.');
      section.set(key.replaceAll('\uE000', '.'), restored);
    }
    sections.set(name.replaceAll('\uE000', '.'), section);
  }
  return sections;
}

function checkField(
  section: string,
  field: FieldDefinition,
  raw: RawSection,
  lines: LineIndex,
): Problem | undefined {
  const value = raw.get(field.key) ?? field.fallback;
  if (value === undefined) {
    const line = lines.lineOf(section);
    const found = 'nothing';
    return { line, section, key: field.key, found, allowed: field.description };
  }
  if (value === '' && field.fallback === '') {
    return undefined;
  }
  const allowed = fieldChecks[field.kind](value, field);
  if (allowed === undefined) {
    return undefined;
  }
  const line = lines.lineOf(section, field.key);
  return { line, section, key: field.key, found: value, allowed };
}

function checkUnknownKeys(
  section: string,
  definition: SectionDefinition,
  raw: RawSection,
  lines: LineIndex,
): readonly Problem[] {
  const definedKeys = definition.fields.map(field => field.key);
  const unknownKeys = [...raw.keys()].filter(key => !definedKeys.includes(key));
  return unknownKeys.map(key => {
    const nearest = nearestName(key, definedKeys);
    return {
      line: lines.lineOf(section, key),
      section,
      key,
      found: 'an unknown key',
      allowed: definedKeys.join(', '),
      ...(nearest === undefined ? {} : { nearest }),
    };
  });
}

function applyFallbacks(
  definition: SectionDefinition,
  raw: RawSection,
): ReadonlyMap<string, string> {
  const values = new Map<string, string>();
  for (const field of definition.fields) {
    const value = raw.get(field.key) ?? field.fallback;
    if (value !== undefined) {
      values.set(field.key, value);
    }
  }
  return values;
}

function unknownSectionProblem(
  section: string,
  definitions: readonly SectionDefinition[],
  lines: LineIndex,
): Problem {
  const definedKinds = definitions.map(definition => definition.kind);
  const nearest = nearestName(section.split(' ')[0] ?? '', definedKinds);
  return {
    line: lines.lineOf(section),
    section,
    key: '',
    found: 'an unknown section',
    allowed: definedKinds.join(', '),
    ...(nearest === undefined ? {} : { nearest }),
  };
}

function strayKeyProblems(
  raw: RawSection,
  lines: LineIndex,
): readonly Problem[] {
  return [...raw.keys()].map(key => ({
    line: lines.lineOf('', key),
    section: '',
    key,
    found: 'a key before the first section',
    allowed: 'keys within a section',
  }));
}

function checkName(section: string, name: string, line: number): Problem[] {
  const field = { key: 'name', kind: 'name', description: '' } as const;
  const allowed = fieldChecks.name(name, field);
  return allowed === undefined
    ? []
    : [{ line, section, key: '', found: name || 'no name', allowed }];
}

function checkRequired(
  definitions: readonly SectionDefinition[],
  present: ReadonlySet<string>,
): readonly Problem[] {
  return definitions
    .filter(definition => definition.required && !present.has(definition.kind))
    .map(definition => ({
      line: 0,
      section: definition.kind,
      key: '',
      found: 'no such section',
      allowed: definition.description,
    }));
}

/** Parses an INI text and checks it against the definitions of its sections. */
export function checkIni(
  text: string,
  definitions: readonly SectionDefinition[],
): CheckedFile {
  if (text.length > MAXIMUM_INI_CHARACTERS) {
    const allowed = `at most ${MAXIMUM_INI_CHARACTERS} characters`;
    const found = `${text.length} characters`;
    const problem = { line: 0, section: '', key: '', found, allowed };
    return { sections: [], problems: [problem] };
  }
  const lines = new LineIndex(text);
  const sections: CheckedSection[] = [];
  const problems: Problem[] = lines.repeated().map(location => ({
    line: lines.lineOf(location.section, location.key),
    ...location,
    found: 'a repetition',
    allowed: 'each section and key once',
  }));
  const parsed = readSections(text);
  // The parser skips names that would modify prototypes, such as `__proto__`.
  const skippedSections = lines.sections.filter(
    section => !parsed.has(section),
  );
  for (const section of skippedSections) {
    problems.push(unknownSectionProblem(section, definitions, lines));
  }
  for (const [section, raw] of parsed) {
    if (section === '') {
      problems.push(...strayKeyProblems(raw, lines));
      continue;
    }
    const [kind = '', ...rest] = section.split(' ');
    const name = rest.join(' ');
    const definition = definitions.find(
      candidate => candidate.kind === kind && (candidate.named || name === ''),
    );
    if (definition === undefined) {
      problems.push(unknownSectionProblem(section, definitions, lines));
      continue;
    }
    if (definition.named) {
      problems.push(...checkName(section, name, lines.lineOf(section)));
    }
    for (const field of definition.fields) {
      const problem = checkField(section, field, raw, lines);
      if (problem !== undefined) {
        problems.push(problem);
      }
    }
    problems.push(...checkUnknownKeys(section, definition, raw, lines));
    sections.push({ kind, name, values: applyFallbacks(definition, raw) });
  }
  const present = new Set(sections.map(section => section.kind));
  problems.push(...checkRequired(definitions, present));
  return { sections, problems };
}
