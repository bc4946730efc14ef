/**
 * Loads settings from JSON with comments and validates them against a schema.
 * Precedence, lowest first: the file, the environment, flags.
 */

import { readFileSync } from "node:fs";
import {
  findNodeAtLocation,
  parseTree,
  getNodeValue,
  printParseErrorCode,
  type JSONPath,
  type Node,
  type ParseError,
} from "jsonc-parser";
import type { z } from "zod";
import { RackspanError } from "@rackspan/common";

/** One error in a settings or declaration file. */
export interface Fault {
  readonly file: string;
  /** Line number, starting at 1. */
  readonly line: number;
  /** Dotted path of the value; empty for the whole document. */
  readonly path: string;
  readonly what: string;
  readonly remedy: string;
}

export const formatFault = (fault: Fault): string =>
  `${fault.file}:${fault.line}: ${fault.path || "(document)"}: ${fault.what}; ${fault.remedy}`;

/** Lists all faults of the files at once. */
export class SettingsError extends RackspanError {
  readonly kind = "bad-settings";
  constructor(readonly faults: readonly Fault[]) {
    super({
      what: faults.map(formatFault).join("\n"),
      remedy: "correct the lines named above",
    });
  }
}

/** A parsed document with the source position of each value. */
export interface SourceDocument {
  readonly file: string;
  readonly text: string;
  readonly value: unknown;
  readonly tree: Node | undefined;
}

const lineAt = (text: string, position: number): number =>
  text.slice(0, position).split("\n").length;

const JSONC_OPTIONS = { allowTrailingComma: true, disallowComments: false };

/** @throws SettingsError with every syntax fault and duplicate key */
export const parseDocument = (file: string, text: string): SourceDocument => {
  const errors: ParseError[] = [];
  const tree = parseTree(text, errors, JSONC_OPTIONS);
  const faults = errors.map((error) => ({
    file,
    line: lineAt(text, error.offset),
    path: "",
    what: `syntax error: ${printParseErrorCode(error.error)}`,
    remedy: "correct the JSON at this line",
  }));
  if (tree) faults.push(...duplicateKeyFaults(file, text, tree, []));
  if (faults.length > 0 || !tree) {
    throw new SettingsError(faults.length > 0 ? faults : [emptyFault(file)]);
  }
  return { file, text, tree, value: getNodeValue(tree) };
};

const emptyFault = (file: string): Fault => ({
  file,
  line: 1,
  path: "",
  what: "the file is empty",
  remedy: "write a JSON object",
});

const duplicateKeyFaults = (
  file: string,
  text: string,
  node: Node,
  path: readonly (string | number)[],
): Fault[] => {
  const faults: Fault[] = [];
  const seen = new Set<string>();
  (node.children ?? []).forEach((child, index) => {
    if (node.type === "array") {
      faults.push(...duplicateKeyFaults(file, text, child, [...path, index]));
      return;
    }
    const [keyNode, valueNode] = child.children ?? [];
    if (child.type !== "property" || !keyNode) return;
    const key = String(keyNode.value);
    const childPath = [...path, key];
    if (seen.has(key)) {
      faults.push({
        file,
        line: lineAt(text, keyNode.offset),
        path: childPath.join("."),
        what: "the key occurs twice in one object",
        remedy: "remove one of them",
      });
    }
    seen.add(key);
    if (valueNode) {
      faults.push(...duplicateKeyFaults(file, text, valueNode, childPath));
    }
  });
  return faults;
};

/** The line of a value, or of the nearest enclosing value that is present in the file. */
const lineOfPath = (document: SourceDocument, path: JSONPath): number => {
  if (!document.tree) return 1;
  for (let length = path.length; length >= 0; length -= 1) {
    const node = findNodeAtLocation(document.tree, path.slice(0, length));
    if (node) return lineAt(document.text, node.offset);
  }
  return 1;
};

/** Creates a fault for a check beyond the schema. */
export const faultAt = (
  document: SourceDocument,
  path: readonly (string | number)[],
  { what, remedy }: Pick<Fault, "what" | "remedy">,
): Fault => ({
  file: document.file,
  line: lineOfPath(document, [...path]),
  path: path.join("."),
  what,
  remedy,
});

const remedyFor = (issue: z.core.$ZodIssue): string => {
  switch (issue.code) {
    case "unrecognized_keys":
      return `remove ${issue.keys.join(", ")}, or correct the spelling`;
    case "invalid_type":
      return `write a value of type ${issue.expected}`;
    case "too_small":
      return `use at least ${String(issue.minimum)}`;
    case "too_big":
      return `use at most ${String(issue.maximum)}`;
    case "invalid_value":
      return `use one of: ${issue.values.map(String).join(", ")}`;
    default:
      return "see docs/INTERFACE.md for the values that are allowed here";
  }
};

/** @throws SettingsError with every fault that the schema finds */
export const checkDocument = <S extends z.ZodType>(
  schema: S,
  document: SourceDocument,
): z.output<S> => {
  const parsed = schema.safeParse(document.value);
  if (parsed.success) return parsed.data;
  const faults = parsed.error.issues.map((issue) => ({
    file: document.file,
    line: lineOfPath(document, issue.path as JSONPath),
    path: issue.path.map(String).join("."),
    what: issue.message,
    remedy: remedyFor(issue),
  }));
  throw new SettingsError(faults);
};

/** One value that overrides the file. */
export interface Override {
  /** Dotted path, for example `listen.port`. */
  readonly path: string;
  /** Parsed as JSON if possible, otherwise used as a string. */
  readonly value: string;
  /** Origin of the override, for error messages. */
  readonly source: string;
}

const ENVIRONMENT_PREFIX = "RACKSPAN__";

/** Reads overrides from the environment: `RACKSPAN__listen__port=8080` overrides `listen.port`. */
export const overridesFromEnvironment = (
  env: Readonly<Record<string, string | undefined>>,
): Override[] =>
  Object.entries(env)
    .filter(([name]) => name.startsWith(ENVIRONMENT_PREFIX))
    .map(([name, value]) => ({
      path: name.slice(ENVIRONMENT_PREFIX.length).replaceAll("__", "."),
      value: value ?? "",
      source: `environment ${name}`,
    }));

/** Parses the value of a `--set` flag, for example `listen.port=8080`. */
export const overrideFromFlag = (flag: string): Override => {
  const at = flag.indexOf("=");
  if (at < 1) {
    const fault = {
      file: "--set",
      line: 1,
      path: flag,
      what: "an override needs the form PATH=VALUE",
      remedy: "write for example --set listen.port=8080",
    };
    throw new SettingsError([fault]);
  }
  return {
    path: flag.slice(0, at),
    value: flag.slice(at + 1),
    source: "--set",
  };
};

const parseOverrideValue = (text: string): unknown => {
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
};

const UNSAFE_KEYS: ReadonlySet<string> = new Set([
  "__proto__",
  "constructor",
  "prototype",
]);

/** Sets the overridden value at its path, and creates missing objects along the path. */
const applyOverride = (
  root: unknown,
  { path, value, source }: Override,
): void => {
  const keys = path.split(".");
  const last = keys.pop() as string;
  let node = root as Record<string, unknown>;
  for (const key of [...keys, last]) {
    if (key !== "" && !UNSAFE_KEYS.has(key)) continue;
    throw new SettingsError([
      {
        file: source,
        line: 1,
        path,
        what: "the path has an empty or reserved key",
        remedy: "write the keys from the top level, joined by dots",
      },
    ]);
  }
  for (const key of keys) {
    const child = node[key];
    if (typeof child !== "object" || child === null) node[key] = {};
    node = node[key] as Record<string, unknown>;
  }
  node[last] = parseOverrideValue(value);
};

export interface LoadOptions<S extends z.ZodType> {
  readonly file: string;
  readonly schema: S;
  /** In order of increasing precedence. */
  readonly overrides?: readonly Override[];
}

/** @throws SettingsError that lists every fault at once */
export const loadSettings = <S extends z.ZodType>({
  file,
  schema,
  overrides = [],
}: LoadOptions<S>): z.output<S> => {
  const document = parseDocument(file, readText(file));
  for (const override of overrides) applyOverride(document.value, override);
  return checkDocument(schema, document);
};

/** @throws SettingsError when the file cannot be read */
export const readText = (file: string): string => {
  try {
    return readFileSync(file, "utf8");
  } catch (err) {
    const what = err instanceof Error ? err.message : String(err);
    const remedy = "specify a readable file";
    throw new SettingsError([{ file, line: 1, path: "", what, remedy }]);
  }
};
