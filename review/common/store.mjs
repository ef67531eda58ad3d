/** Stand-in of the platform's metadata store, as PROTOCOL.md describes it. */
import * as http from "node:http";

const PREFIX = "/api/objects/";
const ANSWER_MS = 4;

/** Objects by kind and name, with one revision counter and watches. */
export class Store {
  /** Items of one page; the site files' `[discovery]` section says 50. */
  pageSize = 50;
  /** Age in ms of the data that a stale read gets; called once a read. */
  staleAgeMs = (_call) => 0;
  /** Called with each call; may return a status that turns it away. */
  turnAway = (_call) => undefined;
  #revision = 100;
  #changes = [];
  #objects = new Map();
  #waiting = new Set();
  #server = http.createServer((request, response) => {
    this.#handle(request, response).catch(() => response.destroy());
  });

  async listen(host, port) {
    await new Promise((resolve) => this.#server.listen(port, host, resolve));
  }

  close() {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  get revision() {
    return this.#revision;
  }

  get(kind, name) {
    return this.#objects.get(`${kind}/${name}`);
  }

  /** Writes an object; one that stays the same keeps its revision. */
  put(kind, name, { spec, status, finalizers }) {
    const before = this.get(kind, name);
    const next = {
      spec: spec === undefined ? before?.spec ?? null : spec,
      status: status === undefined ? before?.status ?? null : status,
    };
    const isSame = before !== undefined &&
      JSON.stringify([before.spec, before.status]) ===
        JSON.stringify([next.spec, next.status]);
    if (isSame) return before;
    this.#revision++;
    const object = {
      meta: {
        name,
        revision: this.#revision,
        created: before?.meta.created ?? this.#revision,
        finalizers: finalizers ?? before?.meta.finalizers ?? [],
        deletionPending: false,
      },
      ...next,
    };
    this.#objects.set(`${kind}/${name}`, object);
    this.#note(kind, object, false);
    return object;
  }

  remove(kind, name) {
    const object = this.get(kind, name);
    if (object === undefined) return;
    this.#revision++;
    this.#objects.delete(`${kind}/${name}`);
    this.#note(kind, object, true);
  }

  #note(kind, object, deleted) {
    const atMs = performance.now();
    const revision = this.#revision;
    this.#changes.push({ atMs, revision, kind, object, deleted });
    for (const wake of [...this.#waiting]) wake();
  }

  /** The objects of a kind, sorted by name, as they were some time ago. */
  #objectsOf(kind, ageMs) {
    const untilMs = performance.now() - ageMs;
    const found = new Map();
    let revision = 100;
    for (const change of this.#changes) {
      if (change.atMs > untilMs) break;
      revision = change.revision;
      if (change.kind !== kind) continue;
      const { name } = change.object.meta;
      if (change.deleted) found.delete(name);
      else found.set(name, change.object);
    }
    const objects = [...found.values()]
      .sort((a, b) => a.meta.name < b.meta.name ? -1 : 1);
    return { objects, revision };
  }

  async #handle(request, response) {
    const url = new URL(request.url, "http://store");
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const text = Buffer.concat(chunks).toString();
    const parts = url.pathname.slice(PREFIX.length).split("/")
      .map(decodeURIComponent);
    const [kind, name, sub] = parts;
    const call = {
      method: request.method,
      kind,
      name,
      sub,
      query: url.searchParams,
      body: text === "" ? undefined : JSON.parse(text),
      from: request.socket.remoteAddress,
    };
    const refused = this.turnAway(call);
    const [status, body] = refused !== undefined
      ? [refused, {}]
      : await this.#answer(call);
    await new Promise((resolve) => setTimeout(resolve, ANSWER_MS));
    const bytes = Buffer.from(JSON.stringify(body));
    response.writeHead(status, {
      "content-type": "application/json",
      "content-length": bytes.length,
    });
    response.end(bytes);
  }

  async #answer(call) {
    const { method, kind, name, query, body, sub } = call;
    if (method === "GET" && name === undefined) {
      return query.has("watch")
        ? [200, await this.#watch(kind, query)]
        : [200, this.#list(kind, query, call)];
    }
    if (method === "GET") {
      const ageMs = query.has("allowStale") ? this.staleAgeMs(call) : 0;
      const { objects } = this.#objectsOf(kind, ageMs);
      const object = objects.find(({ meta }) => meta.name === name);
      return object === undefined ? [404, {}] : [200, object];
    }
    const id = name ?? body.meta.name;
    const before = this.get(kind, id);
    if (method === "POST") {
      if (before !== undefined) return [409, before];
      return [201, this.put(kind, id, { spec: body.spec ?? null })];
    }
    if (before === undefined) return [404, {}];
    const expected = body?.meta?.revision ?? query.get("revision");
    const isConflict = expected !== undefined && expected !== null &&
      Number(expected) !== before.meta.revision;
    if (isConflict) return [409, before];
    if (method === "DELETE") {
      this.remove(kind, id);
      return [200, before];
    }
    return sub === "status"
      ? [200, this.put(kind, id, { status: body.status })]
      : [200, this.put(kind, id, { spec: body.spec })];
  }

  #list(kind, query, call) {
    const ageMs = query.has("allowStale") ? this.staleAgeMs(call) : 0;
    const { objects, revision } = this.#objectsOf(kind, ageMs);
    const after = query.get("after") ?? "";
    const rest = objects.filter(({ meta }) => meta.name > after);
    return {
      items: rest.slice(0, this.pageSize),
      more: rest.length > this.pageSize,
      storeRevision: revision,
    };
  }

  async #watch(kind, query) {
    const from = Number(query.get("watch"));
    const endMs = performance.now() + Number(query.get("waitMs") ?? 0);
    while (true) {
      const events = this.#changes
        .filter((change) => change.kind === kind && change.revision > from)
        .map(({ object, deleted }) => ({ object, deleted }));
      const leftMs = endMs - performance.now();
      if (events.length > 0 || leftMs <= 0) {
        return { events, storeRevision: this.#revision };
      }
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          this.#waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, leftMs);
        this.#waiting.add(wake);
      });
    }
  }
}
