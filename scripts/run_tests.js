/**
 * Runs every built test file with Node's test runner and prints one closing
 * line with the counts. Tests named in KNOWN-RED.txt are run and printed, and
 * do not fail the run; every other failure does.
 */
import * as fs from "node:fs";
import * as path from "node:path";
import { run } from "node:test";
import { spec } from "node:test/reporters";

function findTests(folder) {
  const found = [];
  for (const entry of fs.readdirSync(folder, { withFileTypes: true })) {
    const full = path.join(folder, entry.name);
    if (entry.isDirectory() && entry.name !== "node_modules") {
      found.push(...findTests(full));
    }
    if (entry.isFile() && entry.name.endsWith("_test.js")) found.push(full);
  }
  return found;
}

/** A built test whose source is gone must not run. */
function hasSource(file) {
  const source = file.replace(
    `${path.sep}dist${path.sep}`,
    `${path.sep}src${path.sep}`,
  )
    .replace(/\.js$/, ".ts");
  return fs.existsSync(source);
}

function readKnownRed() {
  if (!fs.existsSync("KNOWN-RED.txt")) return [];
  return fs.readFileSync("KNOWN-RED.txt", "utf8").split("\n")
    .filter((line) => line.trim() !== "" && !line.startsWith("#"));
}

/** An entry begins with the whole name of its test, which may have commas. */
function isKnownRed(name) {
  return knownRed.some((line) => line.startsWith(`${name},`));
}

const only = process.argv[2];
const packages = fs.readdirSync("packages")
  .map((name) => path.join("packages", name));
const files = [...packages, "platform"]
  .map((folder) => path.join(folder, "dist"))
  .filter((folder) => fs.existsSync(folder))
  .flatMap(findTests)
  .filter(hasSource)
  .filter((file) => only === undefined || file.includes(only))
  .map((file) => path.resolve(file))
  .sort();
const knownRed = readKnownRed();
const red = [];
let passed = 0;
let failed = 0;

function isLeaf(event) {
  return event.details?.type !== "suite" && event.name !== event.file &&
    !event.name.endsWith("_test.js");
}

const stream = run({ files, concurrency: 4, timeout: 120_000 });
stream.on("test:pass", (event) => {
  if (isLeaf(event)) passed++;
});
stream.on("test:fail", (event) => {
  const isFileOnly = !isLeaf(event) &&
    event.details?.error?.failureType === "subtestsFailed";
  if (isFileOnly) return;
  if (isKnownRed(event.name)) {
    red.push(event.name);
    return;
  }
  failed++;
});
process.on("exit", () => {
  for (const name of red) console.log(`known red: ${name}`);
  console.log(`${passed} passed, ${failed} failed`);
  process.exitCode = failed > 0 || passed === 0 ? 1 : 0;
});
stream.compose(new spec()).pipe(process.stdout);
