/**
 * Checks that the platform's names stand in platform/ alone: headers, paths,
 * kinds and field names that no other file has a reason to use.
 */
import * as fs from "node:fs";
import * as path from "node:path";

const NAMES = [
  /x-guavatide-/i,
  /\/api\/(objects|grant|release|readiness)/,
  /GUAVATIDE_BOOT/,
  /\b(storeRevision|warmupLeft|shardEnabled|hold_time|healthPath)\b/,
  /\b(maxConcurrency|allowStale|deletionPending|budgetSlack|holdMax)\b/,
];

function findSources(folder) {
  return fs.readdirSync(folder, { withFileTypes: true }).flatMap((entry) => {
    const full = path.join(folder, entry.name);
    if (["node_modules", "dist"].includes(entry.name)) return [];
    if (entry.isDirectory()) return findSources(full);
    return full.endsWith(".ts") ? [full] : [];
  });
}

let found = 0;
for (const file of findSources("packages")) {
  const lines = fs.readFileSync(file, "utf8").split("\n");
  for (const [index, line] of lines.entries()) {
    const name = NAMES.find((pattern) => pattern.test(line));
    if (name === undefined) continue;
    found++;
    console.error(
      `${file}:${index + 1}: a name of the platform: ${line.trim()}`,
    );
  }
}
if (found > 0) {
  console.error("Move these to platform/, which translates them.");
  process.exit(1);
}
