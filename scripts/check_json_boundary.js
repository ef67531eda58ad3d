/**
 * Checks that shipped code parses JSON only where values are limited:
 * packages/contracts/src/untrusted_json.ts.
 */
import * as fs from "node:fs";
import * as path from "node:path";

const BOUNDARY = path.join("packages", "contracts", "src", "untrusted_json.ts");
const ROOTS = [
  ...["contracts", "decisions", "entry", "ctl"]
    .map((name) => path.join("packages", name, "src")),
  path.join("platform", "src"),
];
/** Stand-ins, tests and programs that measure; they don't ship. */
const UNSHIPPED = /_test(_support)?\.ts$|[\\/](testing|soak|measure)[\\/]/;
/** Ways to turn text into a value without limits. */
const PARSERS = /\bJSON\.parse\b|\.receiveJSON\b|\.json\(\)|\}\s*=\s*JSON\b/;

function findSources(folder) {
  return fs.readdirSync(folder, { withFileTypes: true }).flatMap((entry) => {
    const full = path.join(folder, entry.name);
    if (entry.isDirectory()) return findSources(full);
    return full.endsWith(".ts") ? [full] : [];
  });
}

let found = 0;
for (const file of ROOTS.flatMap(findSources)) {
  if (file === BOUNDARY || UNSHIPPED.test(file)) continue;
  const lines = fs.readFileSync(file, "utf8").split("\n");
  for (const [index, line] of lines.entries()) {
    if (!PARSERS.test(line)) continue;
    found++;
    console.error(`${file}:${index + 1}: unlimited JSON: ${line.trim()}`);
  }
}
if (found > 0) {
  console.error("Use parseJson or decodeJson of @guavatide/contracts.");
  process.exit(1);
}
