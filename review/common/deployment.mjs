/**
 * A small deployment on loopback addresses: the store, endpoints and clients in
 * this process, and the project's own program on each entry machine as a
 * process of its own, started with the command of the deploy file.
 */
import * as childProcess from "node:child_process";
import * as crypto from "node:crypto";
import * as fs from "node:fs";
import * as http from "node:http";
import * as net from "node:net";
import * as os from "node:os";
import * as path from "node:path";
import * as url from "node:url";
import { Store } from "./store.mjs";

const ROOT = url.fileURLToPath(new URL("../../", import.meta.url));
export const HOST = "jepu9.example";
export const ZONES = ["plateau", "almadies", "medina", "yoff"];
export const BOUNDS = { stabilityMs: 3_000, drainMs: 2_000, holdMaxMs: 10_000 };

export function sleep(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** The command of the role, from the deploy file. */
function roleCommand() {
  const text = fs.readFileSync(path.join(ROOT, "deploy/system.toml"), "utf8");
  const [, command] = /^run = "([^"]*)"$/m.exec(text);
  return command.split(" ");
}

async function freePort() {
  const server = net.createServer();
  await new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address();
  await new Promise((resolve) => server.close(resolve));
  return port;
}

/** What has been sent, answered and run. */
export class Record {
  #lines = [];
  #startMs = performance.now();

  get nowMs() {
    return performance.now() - this.#startMs;
  }

  note(text) {
    this.#lines.push(`${(this.nowMs / 1_000).toFixed(3)} ${text}`);
  }

  write(file) {
    fs.writeFileSync(file, `${this.#lines.join("\n")}\n`);
  }
}

/** One lifetime of an endpoint. */
export class Endpoint {
  runs = [];
  #deployment;
  #server;
  #held = [];
  #sockets = new Set();

  constructor(deployment, options) {
    this.#deployment = deployment;
    Object.assign(this, {
      workMs: 60,
      slots: 3,
      zone: ZONES[0],
      isKeyed: false,
      ...options,
    });
    this.born = Date.now();
    this.#server = http.createServer({ keepAliveTimeout: 10_000 }, (q, a) => {
      this.handle(q, a).catch(() => a.destroy());
    });
    this.#server.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.once("close", () => this.#sockets.delete(socket));
      if (this.isCut(socket.remoteAddress)) socket.resetAndDestroy();
    });
  }

  /** Whether the path from a machine is cut; its connections are reset. */
  isCut(host) {
    return this.cut?.has(host) ?? false;
  }

  /** Resets the open connections from machines whose path is cut. */
  applyCut() {
    for (const socket of this.#sockets) {
      if (this.isCut(socket.remoteAddress)) socket.resetAndDestroy();
    }
  }

  async start() {
    await new Promise((resolve) =>
      this.#server.listen(this.port, this.host, resolve)
    );
  }

  register(state = "ready") {
    this.#deployment.store.put("servers", this.id, {
      spec: {
        service: this.service,
        addr: `${this.host}:${this.port}`,
        zone: this.zone,
        version: "v1",
        maxConcurrency: this.slots,
        born: this.born,
      },
      status: { state, warmupLeft: 0, sequence: 1 },
    });
  }

  close() {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  async handle(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const body = Buffer.concat(chunks);
    const attempt = request.headers["x-guavatide-attempt-id"];
    if (attempt !== undefined) {
      response.setHeader("X-Guavatide-Attempt-Id", attempt);
    }
    const expected = request.headers["x-guavatide-expected-instance"];
    if (expected !== undefined && expected !== this.id) {
      response.setHeader("X-Guavatide-Instance-Id", this.id);
      response.writeHead(421, { "X-Guavatide-Not-Executed": "1" }).end();
      return;
    }
    if (request.url === "/api/grant") return this.#grant(body, response);
    if (request.url === "/api/release") return this.#release(body, response);
    const key = request.headers["x-guavatide-shard-key"];
    if (this.isKeyed && !this.holds(Number(key))) {
      response.writeHead(421, { "X-Guavatide-Not-Executed": "1" }).end();
      return;
    }
    const { record } = this.#deployment;
    record.note(`run ${attempt} at ${this.id} from ${peerOf(request)}`);
    this.runs.push({ attempt, atMs: record.nowMs, from: peerOf(request) });
    await sleep(this.workMs);
    response.setHeader("X-Guavatide-Server-Signature", `${this.id}.${attempt}`);
    response.writeHead(200).end(`${this.id} ${attempt}\n`);
  }

  holds(key) {
    const nowMs = performance.now();
    return this.#held.some(({ from, target, untilMs }) =>
      from <= key && key <= target && nowMs < untilMs
    );
  }

  #grant(body, response) {
    const { from, target, fence, hold_time } = JSON.parse(body);
    const isFenced = this.#held.some((it) =>
      it.from <= target && from <= it.target && it.fence > fence
    );
    if (isFenced) return void response.writeHead(409).end();
    this.#cut(from, target);
    const untilMs = performance.now() + hold_time;
    this.#held.push({ from, target, fence, untilMs });
    response.writeHead(200).end();
  }

  #release(body, response) {
    const { from, target, fence } = JSON.parse(body);
    this.#cut(from, target);
    this.#held.push({ from, target, fence, untilMs: 0 });
    const handover = crypto.randomBytes(8).toString("hex");
    response.writeHead(200, { "X-Guavatide-Handover": handover }).end();
  }

  #cut(from, target) {
    this.#held = this.#held.flatMap((it) => {
      if (it.target < from || target < it.from) return [it];
      const parts = [];
      if (it.from < from) parts.push({ ...it, target: from - 1 });
      if (it.target > target) parts.push({ ...it, from: target + 1 });
      return parts;
    });
  }
}

function peerOf({ socket }) {
  return socket.remoteAddress;
}

/** The deployment. */
export class Deployment {
  record = new Record();
  store = new Store();
  endpoints = [];
  machines = [];
  #directory = fs.mkdtempSync(path.join(os.tmpdir(), "review-"));
  #net = 16 + crypto.randomInt(200);

  async start({ machines = 3 } = {}) {
    this.ports = {
      store: await freePort(),
      endpoint: await freePort(),
      front: await freePort(),
      ready: await freePort(),
      control: await freePort(),
      peer: await freePort(),
      metrics: await freePort(),
    };
    await this.store.listen(`127.${this.#net}.0.1`, this.ports.store);
    for (let index = 0; index < machines; index++) {
      this.machines.push({
        name: `edge-${ZONES[index % ZONES.length]}-${index + 1}`,
        zone: ZONES[index % ZONES.length],
        host: `127.${this.#net}.1.${index + 1}`,
        child: undefined,
        startedMs: 0,
        ends: [],
      });
    }
    process.on("exit", () => this.killAll());
    for (const signal of ["SIGINT", "SIGTERM"]) {
      process.on(signal, () => process.exit(2));
    }
  }

  writeConfig(config) {
    this.store.put("config", "main", { spec: config });
  }

  async addEndpoint(options) {
    const index = this.endpoints.length;
    const endpoint = new Endpoint(this, {
      id: `i-${crypto.randomBytes(4).toString("hex")}`,
      host: `127.${this.#net}.${2 + Math.floor(index / 200)}.${
        1 + index % 200
      }`,
      port: this.ports.endpoint,
      zone: ZONES[index % ZONES.length],
      ...options,
    });
    await endpoint.start();
    this.endpoints.push(endpoint);
    return endpoint;
  }

  #settings(machine) {
    const { ports } = this;
    return {
      vm: machine.name,
      zone: machine.zone,
      region: "dakar",
      zones: Object.fromEntries(ZONES.map((zone) => [zone, "dakar"])),
      host: machine.host,
      front: `${machine.host}:${ports.front}`,
      readiness: `${machine.host}:${ports.ready}`,
      peerPort: ports.peer,
      metricsPort: ports.metrics,
      seeds: this.machines.slice(0, 3)
        .map(({ host }) => `${host}:${ports.control}`),
      store: `127.${this.#net}.0.1:${ports.store}`,
      limits: {
        memoryMb: 350,
        linkMbps: 1_000,
        descriptors: 4_100,
        processorShare: 0.54,
        processors: 1,
      },
      timings: { graceSeconds: 6, longestGrantMs: BOUNDS.holdMaxMs },
      retryBudget: { ratio: 0.2, slack: 56, windowSeconds: 10 },
    };
  }

  startMachine(machine) {
    const file = path.join(this.#directory, `${machine.name}.json`);
    fs.writeFileSync(file, JSON.stringify(this.#settings(machine)));
    const [program, ...words] = roleCommand();
    const child = childProcess.spawn(program, words, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        GUAVATIDE_BOOT: file,
      },
      stdio: ["ignore", "pipe", "pipe"],
    });
    machine.child = child;
    machine.startedMs = this.record.nowMs;
    this.record.note(`start ${machine.name}`);
    machine.lines ??= [];
    const keep = (chunk) => {
      machine.lines.push(...String(chunk).split("\n"));
      if (machine.lines.length > 5_000) machine.lines.splice(0, 1_000);
    };
    child.stdout.on("data", keep);
    child.stderr.on("data", keep);
    child.on("exit", (code, signal) => {
      const end = { atMs: this.record.nowMs, code, signal };
      machine.ends.push(end);
      if (machine.child === child) machine.child = undefined;
      this.record.note(`end ${machine.name} code ${code} signal ${signal}`);
    });
  }

  signal(machine, name) {
    this.record.note(`${name} to ${machine.name}`);
    machine.child?.kill(name);
  }

  async isReady(machine) {
    return await new Promise((resolve) => {
      const request = http.get({
        host: machine.host,
        port: this.ports.ready,
        path: "/api/readiness",
        agent: false,
        timeout: 500,
      }, (response) => {
        response.resume();
        resolve(response.statusCode === 200);
      });
      request.on("timeout", () => request.destroy());
      request.on("error", () => resolve(false));
    });
  }

  async waitReady(machines = this.machines, limitMs = 15_000) {
    const endMs = performance.now() + limitMs;
    while (performance.now() < endMs) {
      const ready = await Promise.all(machines.map((it) => this.isReady(it)));
      if (ready.every(Boolean)) return;
      await sleep(50);
    }
    throw new CannotRun("machines did not become ready");
  }

  /** Sends one client attempt on a new connection, or over an agent. */
  request(machine, {
    target,
    method = "GET",
    key,
    body,
    deadlineMs = 2_000,
    agent = false,
  }) {
    const id = crypto.randomBytes(8).toString("hex");
    const sentMs = this.record.nowMs;
    this.record.note(`send ${id} ${method} ${target} to ${machine.name}`);
    return new Promise((resolve) => {
      const end = (status, text = "", headers = {}) => {
        clearTimeout(timer);
        const tookMs = Math.round(this.record.nowMs - sentMs);
        this.record.note(`answer ${id} ${status} after ${tookMs} ms`);
        resolve({ id, status, text, headers, sentMs, tookMs });
      };
      const request = http.request({
        host: machine.host,
        port: this.ports.front,
        path: target,
        method,
        agent,
        headers: {
          host: HOST,
          "X-Guavatide-Attempt-Id": id,
          "X-Guavatide-Deadline-Ms": String(deadlineMs),
          ...(key === undefined
            ? {}
            : { "X-Guavatide-Shard-Key": String(key) }),
          ...(body === undefined ? {} : { "Content-Length": body.length }),
        },
      }, (response) => {
        const chunks = [];
        response.on("data", (chunk) => chunks.push(chunk));
        response.on("end", () =>
          end(
            response.statusCode,
            Buffer.concat(chunks).toString(),
            response.headers,
          ));
        response.on("error", () => end("broken"));
        response.on("aborted", () => end("broken"));
      });
      const timer = setTimeout(() => {
        request.destroy();
        end("none");
      }, deadlineMs);
      request.on("error", (error) => end(`closed ${error.code}`));
      request.end(body);
    });
  }

  killAll() {
    for (const { child } of this.machines) child?.kill("SIGKILL");
  }

  stop() {
    this.killAll();
    for (const endpoint of this.endpoints) endpoint.close();
    this.store.close();
    fs.rmSync(this.#directory, { recursive: true, force: true });
  }
}

/** The case can't be run here; this says nothing about the rule. */
export class CannotRun extends Error {}

/** Runs a case and ends the process with 1 if the rule was broken, else 0. */
export async function runCase(directory, play) {
  const deployment = new Deployment();
  const limit = setTimeout(() => process.exit(2), 115_000);
  let code = 2;
  try {
    const broken = await play(deployment, process.env.TROUBLE !== "0");
    code = broken.length > 0 ? 1 : 0;
    for (const line of broken) deployment.record.note(`BROKEN ${line}`);
    const verdict = code === 1 ? "rule broken" : "rule held";
    console.log(`${verdict}: ${broken.length} violations`);
    for (const line of broken.slice(0, 5)) console.log(`  ${line}`);
  } catch (error) {
    console.error(`could not run: ${error.stack}`);
  }
  clearTimeout(limit);
  if (process.env.LINES !== undefined) {
    for (const { name, lines = [] } of deployment.machines) {
      for (const line of lines) console.log(name, line);
    }
  }
  deployment.stop();
  deployment.record.write(path.join(directory, "record.txt"));
  process.exit(code);
}
