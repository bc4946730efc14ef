/** Reads declarations from files and folders, and reports all faults together. */

import { readdirSync, statSync } from "node:fs";
import { join } from "node:path";
import {
  checkDocument,
  faultAt,
  parseDocument,
  readText,
  SettingsError,
  type Fault,
  type SourceDocument,
} from "@rackspan/kernel";
import {
  declarationKey,
  declarationSchema,
  type Declaration,
} from "@rackspan/state";
import { compilePolicy, PolicyError } from "@rackspan/policies";
import { z } from "zod";

const FILE_PATTERN = /\.jsonc?$/;

/** A file contains one declaration or a list of them. */
const fileSchema = z.union([
  z.array(z.unknown()),
  z.record(z.string(), z.unknown()),
]);

const filesOf = (path: string): string[] => {
  if (!statSync(path).isDirectory()) return [path];
  return readdirSync(path)
    .filter((name) => FILE_PATTERN.test(name))
    .sort()
    .map((name) => join(path, name));
};

const readFile = (file: string): Declaration[] => {
  const document = parseDocument(file, readText(file));
  const value = checkDocument(fileSchema, document);
  const declarations = Array.isArray(value)
    ? checkDocument(z.array(declarationSchema), document)
    : [checkDocument(declarationSchema, document)];
  const faults = declarations.flatMap((declaration, index) =>
    policyFaults(document, declaration, Array.isArray(value) ? [index] : []),
  );
  if (faults.length > 0) throw new SettingsError(faults);
  return declarations;
};

/** Faults in the program of a policy; empty for other declarations. */
const policyFaults = (
  document: SourceDocument,
  declaration: Declaration,
  path: readonly (string | number)[],
): Fault[] => {
  if (declaration.kind !== "policy") return [];
  try {
    compilePolicy(declaration.point, declaration.program);
    return [];
  } catch (err) {
    if (!(err instanceof PolicyError)) throw err;
    const { what, remedy } = err;
    return [faultAt(document, [...path, "program"], { what, remedy })];
  }
};

const duplicateFaults = (
  declarations: readonly Declaration[],
  paths: readonly string[],
): Fault[] => {
  const seen = new Set<string>();
  const faults: Fault[] = [];
  for (const declaration of declarations) {
    const key = declarationKey(declaration);
    if (seen.has(key)) {
      faults.push({
        file: paths.join(", "),
        line: 1,
        path: key,
        what: "duplicate declaration",
        remedy: "remove one of them",
      });
    }
    seen.add(key);
  }
  return faults;
};

/** @throws SettingsError with every fault of every file */
export const readDeclarations = (
  paths: readonly string[],
): readonly Declaration[] => {
  const declarations: Declaration[] = [];
  const faults: Fault[] = [];
  for (const path of paths) {
    try {
      for (const file of filesOf(path)) {
        try {
          declarations.push(...readFile(file));
        } catch (err) {
          if (!(err instanceof SettingsError)) throw err;
          faults.push(...err.faults);
        }
      }
    } catch (err) {
      const what = err instanceof Error ? err.message : String(err);
      faults.push({
        file: path,
        line: 1,
        path: "",
        what,
        remedy: "name a file or folder that exists",
      });
    }
  }
  faults.push(...duplicateFaults(declarations, paths));
  if (faults.length > 0) throw new SettingsError(faults);
  return declarations;
};
