/** Fills a settings template as the deploy page describes it, as far as rackspan uses it. */

const lookUp = (fields, path) =>
  path
    .split(".")
    .reduce((value, name) => (value == null ? undefined : value[name]), fields);

const isGiven = (value) =>
  value !== undefined && value !== null && value !== false;

const textOf = (value) => {
  if (!isGiven(value)) return "";
  if (Array.isArray(value)) return value.join(",");
  return typeof value === "object" ? JSON.stringify(value) : String(value);
};

export const renderTemplate = (template, fields) =>
  template
    .replace(/\{\{#([\w.]+)\}\}([^]*?)\{\{\/\1\}\}/g, (_all, path, inner) =>
      isGiven(lookUp(fields, path)) ? inner : "",
    )
    .replace(/\{\{([\w.]+)\|json\}\}/g, (_all, path) =>
      JSON.stringify(lookUp(fields, path)),
    )
    .replace(/\{\{([\w.]+)\}\}/g, (_all, path) => textOf(lookUp(fields, path)));
