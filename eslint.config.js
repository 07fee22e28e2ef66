// Lint: typescript-eslint strict + stylistic (type-checked), prettier owns formatting,
// and layering: common/ imports no role, and no role imports another role.
import js from "@eslint/js";
import prettier from "eslint-config-prettier";
import tseslint from "typescript-eslint";

const roles = ["entry", "platform", "engine", "service", "bench", "cli"];
/** Library folders between common/ and the roles: they import common/ and themselves, roles may import them. */
const libraries = ["placement"];
/** Folders that compose roles (the CLI and the bench run them); no role imports these. */
const composers = ["cli", "bench"];

/** One block per role folder: it may import common/ and itself, never another role. */
const layering = roles.map((role) => ({
  files: [`src/${role}/**/*.ts`],
  rules: {
    "no-restricted-imports": [
      "error",
      {
        patterns: roles
          .filter((other) => other !== role && !composers.includes(role))
          .map((other) => ({ group: [`../${other}/*`], message: `${role}/ may not import ${other}/` })),
      },
    ],
  },
}));

export default tseslint.config(
  { ignores: ["node_modules/**", "eslint.config.js", "bin/**"] },
  js.configs.recommended,
  ...tseslint.configs.strictTypeChecked,
  ...tseslint.configs.stylisticTypeChecked,
  {
    languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
    rules: {
      "@typescript-eslint/restrict-template-expressions": ["error", { allowNumber: true }],
      "@typescript-eslint/no-unnecessary-condition": "off",
    },
  },
  {
    files: ["src/common/**/*.ts"],
    rules: {
      "no-restricted-imports": [
        "error",
        {
          patterns: [...roles, ...libraries].map((folder) => ({
            group: [`../${folder}/*`],
            message: "common/ imports no other folder",
          })),
        },
      ],
    },
  },
  ...layering,
  ...libraries.map((library) => ({
    files: [`src/${library}/**/*.ts`],
    rules: {
      "no-restricted-imports": [
        "error",
        {
          patterns: roles.map((role) => ({
            group: [`../${role}/*`],
            message: `${library}/ imports no role`,
          })),
        },
      ],
    },
  })),
  { files: ["test/**/*.ts"], rules: { "@typescript-eslint/no-unused-expressions": "off" } },
  prettier,
);
