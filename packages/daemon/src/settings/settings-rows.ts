/** The settings as rows of a table in the operators' page. */
import { environmentName, settingsTable } from './settings.js';

const byDefault = (schema: (typeof settingsTable)['seeds']['schema'] | { safeParse: unknown }) => {
  const parsed = (schema as (typeof settingsTable)['seeds']['schema']).safeParse(undefined);
  if (!parsed.success) return 'none, must be set';
  const text = String(parsed.data);
  return text === '' ? 'empty' : `\`${text}\``;
};

/**
 * Writes the settings as rows in Markdown.
 *
 * @returns One row a setting.
 */
export const settingsRows = (): readonly string[] =>
  Object.entries(settingsTable).map(
    ([flag, { describe, accepts, schema }]) =>
      `| \`--${flag}\`: ${describe} | \`${environmentName(flag)}\` | ${accepts} | ${byDefault(schema)} |`,
  );
