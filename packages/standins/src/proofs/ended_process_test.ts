import { expect } from "earl";
import { once } from "node:events";
import * as childProcess from "node:child_process";
import * as net from "node:net";
import { test } from "node:test";
import * as url from "node:url";

const PROGRAM = url.fileURLToPath(
  new URL("./ended_process_main.js", import.meta.url),
);

/** How the server sees the connection end when the calling process ends. */
async function endOf(how: "exit" | "throw"): Promise<"reset" | "closed"> {
  const server = net.createServer().listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as net.AddressInfo;
  const child = childProcess.spawn(
    process.execPath,
    [PROGRAM, String(port), how],
    { stdio: "ignore" },
  );
  try {
    const [socket] = await once(server, "connection") as [net.Socket];
    const end = new Promise<"reset" | "closed">((resolve) => {
      socket.once("error", () => resolve("reset"));
      socket.once("end", () => resolve("closed"));
    });
    await once(socket, "data");
    child.kill("SIGUSR2");
    return await end;
  } finally {
    child.kill("SIGKILL");
    server.close();
  }
}

/** Guards against calls that take effect after the calling process crashed. */
for (const how of ["exit", "throw"] as const) {
  test(`should reset the connections of a process that ends by ${how}`, async () => {
    expect(await endOf(how)).toEqual("reset");
  });
}
