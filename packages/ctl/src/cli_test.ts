import { expect } from "earl";
import * as http from "node:http";
import type * as net from "node:net";
import { PassThrough } from "node:stream";
import { test, type TestContext } from "node:test";
import { runCli } from "./cli.ts";
import { EXIT_CODES } from "./ctl_error.ts";

const DRAFT = {
  object: { kind: "place", name: "yoff", region: "dakar" },
  version: "v1",
  lastEdit: { operator: "ana", at: "2026-01-01T00:00:00Z" },
};

interface RecordedRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
}

type Handler = (seen: RecordedRequest, response: http.ServerResponse) => void;

/** An administration API that answers as the test says. */
class FakeApi {
  readonly seen: RecordedRequest[] = [];
  readonly #server: http.Server;

  constructor(handler: Handler) {
    this.#server = http.createServer(async (request, response) => {
      let body = "";
      for await (const chunk of request) body += chunk;
      const seen = {
        method: request.method!,
        path: request.url!,
        headers: request.headers,
        body,
      };
      this.seen.push(seen);
      handler(seen, response);
    });
  }

  static async open(t: TestContext, handler: Handler): Promise<FakeApi> {
    const api = new FakeApi(handler);
    await new Promise<void>((resolve) =>
      api.#server.listen(0, "127.0.0.1", resolve)
    );
    t.after(() => {
      api.#server.closeAllConnections();
      api.#server.close();
    });
    return api;
  }

  get url(): string {
    const { port } = this.#server.address() as net.AddressInfo;
    return `http://127.0.0.1:${port}`;
  }
}

async function run(args: string[]) {
  process.env.GUAVATIDE_TOKEN = "token";
  const stdout = new PassThrough();
  const stderr = new PassThrough();
  const context = {
    env: process.env,
    stdin: process.stdin,
    stdout,
    stderr,
    colorDepth: 1,
  };
  const code = await runCli(args, context);
  return {
    code,
    out: String(stdout.read() ?? ""),
    err: String(stderr.read() ?? ""),
  };
}

function respondWith(status: number, body: unknown): Handler {
  return (_seen, response) => {
    response.writeHead(status, { "content-type": "application/json" });
    response.end(JSON.stringify(body));
  };
}

const ERROR_RESPONSES = [
  { status: 401, kind: "unauthorized", code: EXIT_CODES.denied },
  { status: 403, kind: "forbidden", code: EXIT_CODES.denied },
  { status: 404, kind: "not-found", code: EXIT_CODES.refused },
  { status: 412, kind: "conflict", code: EXIT_CODES.conflict },
  { status: 422, kind: "findings", code: EXIT_CODES.findings },
  { status: 503, kind: "unavailable", code: EXIT_CODES.unavailable },
  { status: 504, kind: "unknown", code: EXIT_CODES.unknown },
];

for (const { status, kind, code } of ERROR_RESPONSES) {
  test(`should exit with ${code} on ${status} and tell why`, async (t) => {
    const error = { kind, message: "What was seen: what to do" };
    const api = await FakeApi.open(t, respondWith(status, { error }));
    const asText = await run(["history", "--url", api.url]);
    expect(asText.code).toEqual(code);
    expect(asText.err).toEqual(`guavatidectl: ${error.message}\n`);
    const asJson = await run(["history", "--url", api.url, "--json"]);
    expect(JSON.parse(asJson.err)).toEqual({ error });
  });
}

// The connection breaks after the change has reached the API. A script told
// "not reached" would send it again.
test("should call the fate of a change unknown when no answer came", async (t) => {
  const api = await FakeApi.open(t, (_seen, response) => {
    response.socket?.destroy();
  });
  const changed = await run(["drain", "a-1", "--url", api.url]);
  const read = await run(["drains", "--url", api.url]);
  expect(changed.code).toEqual(EXIT_CODES.unknown);
  expect(read.code).toEqual(EXIT_CODES.unavailable);
});

test("should set fields on the version it has read", async (t) => {
  const api = await FakeApi.open(t, respondWith(200, DRAFT));
  const edited = await run([
    "edit",
    "place/yoff",
    "--set",
    'region="thies"',
    "--url",
    api.url,
  ]);
  expect(edited.code).toEqual(EXIT_CODES.ok);
  const { method, path, headers, body } = api.seen[1]!;
  expect(`${method} ${path}`).toEqual("PUT /v1/objects/place/yoff");
  expect(headers["if-match"]).toEqual('"v1"');
  expect(JSON.parse(body)).toEqual({ ...DRAFT.object, region: "thies" });
});

test("should print an object that can be sent back", async (t) => {
  const api = await FakeApi.open(t, respondWith(200, DRAFT));
  const got = await run(["get", "place/yoff", "--url", api.url]);
  expect(JSON.parse(got.out)).toEqual(DRAFT.object);
  expect(got.err).toEqual("version v1\n");
});

const USAGE_ERRORS: readonly (readonly string[])[] = [
  ["no-such-command"],
  ["get", "place"],
  ["edit", "place/yoff"],
  ["edit", "place/yoff", "--set", "region=dakar"],
  ["list", "--url", "nowhere"],
  ["list", "--timeout-ms", "10s"],
];

for (const args of USAGE_ERRORS) {
  test(`should refuse "${args.join(" ")}" in one line`, async () => {
    const refused = await run([...args]);
    expect(refused.code).toEqual(EXIT_CODES.usage);
    expect(refused.err.trimEnd().includes("\n")).toEqual(false);
  });
}
