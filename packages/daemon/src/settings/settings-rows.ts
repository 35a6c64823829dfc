/** Formats the settings as rows of the table in the operations page. */
import { environmentName, settingsTable } from './settings.js';

const formatDefault = (
  schema: (typeof settingsTable)['seeds']['schema'] | { safeParse: unknown },
) => {
  const parsed = (schema as (typeof settingsTable)['seeds']['schema']).safeParse(undefined);
  if (!parsed.success) return 'none, must be set';
  const text = String(parsed.data);
  return text === '' ? 'empty' : `\`${text}\``;
};

/**
 * Formats the settings as rows of a Markdown table.
 *
 * @returns One row per setting.
 */
export const formatSettingsRows = (): readonly string[] =>
  Object.entries(settingsTable).map(
    ([flag, { describe, accepts, schema }]) =>
      `| \`--${flag}\`: ${describe} | \`${environmentName(flag)}\` | ${accepts} | ${formatDefault(schema)} |`,
  );
