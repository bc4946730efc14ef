import js from "@eslint/js";
import tseslint from "typescript-eslint";

/** Packages from the lowest to the highest; a package imports only lower ones. */
const PACKAGE_ORDER = [
  "common",
  "protocol",
  "ports",
  "kernel",
  "state",
  "leadership",
  "routing",
  "jobs",
  "scheduling",
  "policies",
  "standins",
  "entry",
  "side",
  "cli",
  "harness",
  "checker",
];

const importDirectionRules = PACKAGE_ORDER.map((name, index) => ({
  files: [`packages/${name}/src/**/*.ts`],
  rules: {
    "no-restricted-imports": [
      "error",
      {
        paths: PACKAGE_ORDER.slice(index).map((higher) => ({
          name: `@rackspan/${higher}`,
          message: `"${name}" may import only packages that stand before it in PACKAGE_ORDER`,
        })),
        patterns: [
          { group: ["@rackspan/*/*"], message: "import the package's index" },
        ],
      },
    ],
  },
}));

export default tseslint.config(
  {
    ignores: [
      "**/dist/**",
      "**/node_modules/**",
      "tmp/**",
      "target/**",
      "journal/**",
    ],
  },
  js.configs.recommended,
  ...tseslint.configs.recommended,
  {
    languageOptions: { parserOptions: { projectService: true } },
    files: ["**/*.ts"],
    rules: {
      "@typescript-eslint/no-floating-promises": "error",
      "@typescript-eslint/no-misused-promises": [
        "error",
        { checksVoidReturn: false },
      ],
      "@typescript-eslint/switch-exhaustiveness-check": [
        "error",
        { considerDefaultExhaustiveForUnions: true },
      ],
      "@typescript-eslint/consistent-type-imports": "error",
      "prefer-arrow-callback": "error",
      eqeqeq: "error",
    },
  },
  {
    files: ["**/*.mjs"],
    languageOptions: { globals: { process: "readonly", console: "readonly" } },
  },
  {
    // test() of the runner returns a promise that the runner itself awaits.
    files: [
      "packages/*/tests/**/*.ts",
      "platform/tests/**/*.ts",
      "soak/tests/**/*.ts",
    ],
    rules: { "@typescript-eslint/no-floating-promises": "off" },
  },
  ...importDirectionRules,
);
