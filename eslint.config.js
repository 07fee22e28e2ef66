// Lint: typescript-eslint strict and stylistic (type-checked); formatting is left to prettier.
// Layering: common/ imports no role, and no role imports another role.
import js from "@eslint/js";
import prettier from "eslint-config-prettier";
import tseslint from "typescript-eslint";

const roles = ["entry", "gateway", "platform", "engine", "service", "bench", "cli"];
/** Library folders between common/ and the roles: they may import common/ and themselves, and roles may import them. */
const libraries = ["placement", "serving"];
/** Folders that run roles (the CLI and the benchmarks); no role imports these. */
const composers = ["cli", "bench"];

/** Only the composers may import the platform adapter in platform/ at the root. */
function adapterPattern(folder) {
  if (composers.includes(folder)) return [];
  return [
    { group: ["**/../platform/*", "../../platform/**"], message: `${folder}/ may not import the adapter` },
  ];
}

/** One block per role folder: it may import common/ and itself, never another role. */
const layering = roles.map((role) => ({
  files: [`src/${role}/**/*.ts`],
  rules: {
    "no-restricted-imports": [
      "error",
      {
        patterns: [
          ...roles
            .filter((other) => other !== role && !composers.includes(role))
            .map((other) => ({ group: [`../${other}/*`], message: `${role}/ may not import ${other}/` })),
          ...adapterPattern(role),
        ],
      },
    ],
  },
}));

export default tseslint.config(
  { ignores: ["node_modules/**", "target/**", "eslint.config.js", "bin/**", "scripts/**"] },
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
          patterns: [
            ...roles.map((role) => ({ group: [`../${role}/*`], message: `${library}/ imports no role` })),
            ...adapterPattern(library),
          ],
        },
      ],
    },
  })),
  { files: ["test/**/*.ts"], rules: { "@typescript-eslint/no-unused-expressions": "off" } },
  prettier,
);
