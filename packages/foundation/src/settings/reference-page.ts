import type { FieldDefinition } from './field-definition.js';
import type { SectionDefinition } from './section-definition.js';

function describeRange(field: FieldDefinition): string {
  if (field.choices !== undefined) {
    return field.choices.join(', ');
  }
  const hasRange = field.minimum !== undefined || field.maximum !== undefined;
  return hasRange
    ? `${field.kind} ${field.minimum ?? 0} to ${field.maximum ?? 'any'}`
    : field.kind;
}

function describeField(field: FieldDefinition): string {
  const fallback = field.fallback ?? 'required';
  const shown = fallback === '' ? 'empty' : fallback;
  return `| \`${field.key}\` | ${describeRange(field)} | ${shown} | ${field.description} |`;
}

function describeSection(section: SectionDefinition): string {
  const title = section.named ? `[${section.kind} NAME]` : `[${section.kind}]`;
  return [
    `## \`${title}\``,
    '',
    section.description,
    '',
    '| key | allowed | default | meaning |',
    '| --- | --- | --- | --- |',
    ...section.fields.map(describeField),
    '',
  ].join('\n');
}

/** Generates the Markdown reference page of an INI format. */
export function referencePage(
  title: string,
  definitions: readonly SectionDefinition[],
): string {
  return [`# ${title}`, '', ...definitions.map(describeSection)].join('\n');
}
